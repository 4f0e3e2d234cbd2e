/** The longest time from `from` to `until` in which none of a job's tasks ran, in ms. */
export const longestIdle = (events, id, from, until) => {
  const running = new Map();
  let idleSince = from;
  let longest = 0;
  for (const {event, task, run, minion, at} of events) {
    if (!task?.startsWith(id) || at > until) continue;
    const key = `${task} ${run} ${minion}`;
    if (event === 'start') {
      if (running.size === 0) longest = Math.max(longest, at - idleSince);
      running.set(key, at);
    } else if (event === 'end') {
      running.delete(key);
      if (running.size === 0) idleSince = Math.max(at, from);
    }
  }
  return running.size === 0 ? Math.max(longest, until - idleSince) : longest;
};

/** The time from which on fewer than `limit` tasks ran at once, `from` at the earliest. */
export const calmFrom = (events, from, limit) => {
  const running = new Set();
  let calm = from;
  let isCalm = true;
  for (const {event, task, run, minion, at} of events) {
    const key = `${task} ${run} ${minion}`;
    if (event === 'start') running.add(key);
    else if (event === 'end') running.delete(key);
    else continue;
    if (running.size >= limit) isCalm = false;
    else if (!isCalm) {
      isCalm = true;
      calm = Math.max(from, at);
    }
  }
  return isCalm ? calm : Number.POSITIVE_INFINITY;
};

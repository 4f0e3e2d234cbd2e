/**
 * How many minions crashed under each task: those of `crashed` (ids, a new one
 * for each life) on which a run of it had begun and had not ended.
 */
export const crashesByTask = (events, crashed) => {
  const active = new Map();
  for (const event of events) {
    const key = `${event.task} ${event.run} ${event.minion}`;
    if (event.event === 'start') active.set(key, event);
    else if (event.event === 'end') active.delete(key);
  }
  const crashes = new Map();
  for (const {task, minion} of active.values())
    if (crashed.has(minion)) crashes.set(task, (crashes.get(task) ?? 0) + 1);
  return crashes;
};

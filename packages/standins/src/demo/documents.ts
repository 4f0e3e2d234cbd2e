/** Profiles and job of the demo: the Association's booking desk and its deposit run. */

/** Profile of the booking desk. */
export const DESK_PROFILE = {
  name: 'booking-desk',
  placing: {kind: 'spread', over: 'rack'},
  waiting: {
    classes: [
      {
        name: 'availability',
        pathPrefix: '/check',
        priority: 8,
        deadlineMs: 5000,
        queueBound: 200,
      },
      {
        name: 'other',
        pathPrefix: '/',
        priority: 4,
        deadlineMs: 30_000,
        queueBound: 50,
      },
    ],
    spill: {kind: 'never'},
  },
  stopping: {
    graceMs: 5000,
    checkpoint: false,
    repeat: {kind: 'again', maxAttempts: 3, backoffMs: 500},
  },
};

/** Profile of the deposit run, which must not run twice. */
export const DEPOSIT_PROFILE = {
  name: 'deposit-run',
  placing: {kind: 'pack'},
  waiting: {
    classes: [
      {
        name: 'all',
        pathPrefix: '/',
        priority: 4,
        deadlineMs: 60_000,
        queueBound: 10,
      },
    ],
    spill: {kind: 'never'},
  },
  stopping: {
    graceMs: 10_000,
    checkpoint: false,
    repeat: {kind: 'at_most_once'},
  },
};

/** Job specification of the deposit run. */
export const DEPOSIT_JOB = {
  team: 'association',
  profile: 'deposit-run',
  taskCount: 4,
  size: {cpuMillis: 2000, memoryMb: 4096},
  command: 'reckon deposits',
  runMs: 800,
};

/** Profile of a service for the bench. */
export const DESK_PROFILE = {
  name: 'booking-desk',
  placing: {kind: 'pack'},
  waiting: {
    classes: [
      {
        name: 'all',
        pathPrefix: '/',
        priority: 5,
        deadlineMs: 5000,
        queueBound: 500,
      },
    ],
    spill: {kind: 'never'},
  },
  stopping: {graceMs: 1000, checkpoint: false, repeat: {kind: 'at_most_once'}},
};

import {asId, type Profile, type ProfileName} from '@primrosewick/state';

/**
 * Minimal profile with one class for all requests; `changes` overrides its
 * fields.
 */
export const plainProfile = (
  name: string,
  changes: Partial<Profile> = {},
): Profile => ({
  name: asId<ProfileName>(name),
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
  stopping: {graceMs: 0, checkpoint: false, repeat: {kind: 'at_most_once'}},
  ...changes,
});

import type {VmSettings} from '@primrosewick/protocol';
import {asId, type Profile, type VmId, type ZoneId} from '@primrosewick/state';
import {plainProfile} from '../world/profiles.js';

/** VMs of a zone, with a witness in another zone if their number is even. */
export const makeVms = (zoneVms: number): VmSettings[] => {
  const own = Array.from({length: zoneVms}, (_none, i) =>
    vmSettings(`a${i}`, 'a'),
  );
  return zoneVms % 2 === 0 ? [...own, vmSettings('b0', 'b')] : own;
};

const vmSettings = (vm: string, zone: string): VmSettings => ({
  vm: asId<VmId>(vm),
  zone: asId<ZoneId>(zone),
  peer: '127.0.0.1:1',
  disk: false,
});

/** Profiles of the test jobs and of the test service. */
export const profileOf = (
  name: 'desk' | 'again' | 'once' | 'spread',
): Profile =>
  plainProfile(name, {
    placing:
      name === 'spread' ? {kind: 'spread', over: 'worker'} : {kind: 'pack'},
    waiting: {
      classes: [
        {
          name: 'all',
          pathPrefix: '/',
          priority: 1,
          deadlineMs: 1000,
          queueBound: 10,
        },
      ],
      spill: {kind: 'never'},
    },
    stopping: {
      graceMs: 100,
      checkpoint: name === 'again',
      repeat:
        name === 'once'
          ? {kind: 'at_most_once'}
          : {kind: 'again', maxAttempts: 4, backoffMs: 100},
    },
  });

import type {
  AuthorityTask,
  EntryTask,
  ReplicaTask,
  ZoneTask,
} from '@primrosewick/coordination';
import type {VmSettings, VmStatus} from '@primrosewick/protocol';
import type {Voter} from './voter.js';

/** Parts of a daemon that its status reports. */
export interface VmStatusInput {
  readonly own: VmSettings;
  readonly boot: string;
  readonly isStopping: boolean;
  readonly replica: ReplicaTask;
  readonly authority: AuthorityTask;
  readonly zone: ZoneTask;
  readonly entry: EntryTask;
  readonly voter: Voter | null;
}

/** Age reported for a replica that was never confirmed to be current, in ms. */
const NEVER_CURRENT_MS = -1;

/** Status of a VM for other VMs and operators. */
export const vmStatus = (input: VmStatusInput): VmStatus => {
  const {own, boot, isStopping, replica, authority, zone, entry, voter} = input;
  const {state} = replica.replica;
  return {
    vm: own.vm,
    zone: own.zone,
    boot,
    isReady: replica.isReady,
    isStopping,
    appliedIndex: replica.replica.index,
    staleMs: Number.isFinite(replica.staleMs)
      ? Math.round(replica.staleMs)
      : NEVER_CURRENT_MS,
    profiles: state
      .listProfiles()
      .map(({profile, revision}) => ({name: profile.name, revision})),
    log: voter?.task?.logStatus ?? null,
    zoneLeader: {vm: authority.leader, epoch: authority.highestEpoch},
    upstreams: zone.listUpstreams(),
    workers: zone.listWorkers(),
    shares: entry.listShares(),
    queued: entry.queued,
    running: entry.open - entry.queued,
  };
};

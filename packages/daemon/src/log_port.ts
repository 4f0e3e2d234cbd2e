/** Routes commands and index reads to the leader of the cell log. */
import {
  Proposer,
  replyToProposal,
  type LogPort,
} from '@primrosewick/coordination';
import {voterVms, type Settings, type VmSettings} from '@primrosewick/protocol';
import type {VmId} from '@primrosewick/state';
import type {Clock, Metrics, PeerCaller} from '@primrosewick/transport';
import type {Voter} from './voter.js';

/** Options of {@link makeLogPort}. */
export interface LogPortOptions {
  readonly own: VmSettings;
  readonly settings: Settings;
  /** The voter of this VM; null on a VM without a disk. */
  readonly voter: Voter | null;
  readonly peers: PeerCaller;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly boot: string;
}

/** Voters sorted by distance: this VM, then its zone, then the others. */
export const votersByDistance = (
  settings: Settings,
  own: VmSettings,
): VmId[] => {
  const distance = ({vm, zone}: VmSettings): number =>
    vm === own.vm ? 0 : zone === own.zone ? 1 : 2;
  const voters = [...voterVms(settings)].sort(
    (a, b) => distance(a) - distance(b),
  );
  return voters.map(({vm}) => vm);
};

/** Creates the log port of one VM. */
export const makeLogPort = (options: LogPortOptions): LogPort => {
  const {own, settings, voter, peers, clock, metrics} = options;
  const proposer = new Proposer({
    vm: own.vm,
    voters: votersByDistance(settings, own),
    peers,
    proposeLocally:
      voter &&
      (command =>
        replyToProposal(voter.propose, () => voter.leaderVm, command)),
    clock,
    metrics,
    proposeTimeoutMs: settings.timing.proposeMs,
    maxPending: settings.limits.proposals,
  });
  return {
    propose: command => proposer.propose(command),
    readIndex: () => readIndex(options),
  };
};

/** Queries the voters in turn for the index that a current read must have reached. */
const readIndex = async ({
  own,
  settings,
  voter,
  peers,
  boot,
}: LogPortOptions): Promise<number | undefined> => {
  const here = await voter?.readIndex();
  if (here?.kind === 'ok') return here.value.index;
  for (const vm of votersByDistance(settings, own)) {
    if (vm === own.vm) continue;
    const reply = await peers
      .call(vm, 'readIndex', {boot})
      .catch(() => undefined);
    if (reply?.kind === 'ok') return reply.value.index;
  }
  return undefined;
};

import type {
  AuthorityTask,
  ReplicaTask,
  ZoneTask,
} from '@primrosewick/coordination';
import type {JournalPage, VmSettings, VmStatus} from '@primrosewick/protocol';
import type {CoreName} from '@primrosewick/state';
import {replyToProposal} from '@primrosewick/coordination';
import type {PeerHandlers} from '@primrosewick/transport';
import type {JournalRecorder} from '@primrosewick/coordination';
import type {Voter} from './voter.js';

/** Parts of the daemon that the handlers use. */
export interface PeerHandlerOptions {
  readonly own: VmSettings;
  readonly boot: string;
  readonly replica: ReplicaTask;
  readonly authority: AuthorityTask;
  readonly zone: ZoneTask;
  readonly voter: Voter | null;
  readonly status: () => VmStatus;
  readonly recorder: JournalRecorder;
}

/** Handlers of the methods that other daemons call. */
export const peerHandlers = ({
  own,
  boot,
  replica,
  authority,
  zone,
  voter,
  status,
  recorder,
}: PeerHandlerOptions): PeerHandlers => ({
  hello: async () => ({
    vm: own.vm,
    zone: own.zone,
    boot,
    node: voter?.node ?? null,
    hasState: (voter?.hasState ?? false) || replica.replica.index > 0,
  }),
  consensus: async ({envelopes}, from) => ({
    envelopes: voter ? await voter.receive(from, envelopes) : [],
  }),
  propose: async ({command}) =>
    voter
      ? replyToProposal(voter.propose, () => voter.leaderVm, command)
      : {kind: 'not_leader', leader: null},
  readIndex: async () =>
    voter ? voter.readIndex() : {kind: 'not_leader', leader: null},
  follow: request => replica.follow(request),
  authority: async (message, from) => authority.handle(from, message),
  syncShares: async request => zone.syncShares(request),
  announceUpstream: async report => zone.announceUpstream(report),
  announceWorker: async report => zone.announceWorker(report),
  canHold: async request => zone.canHold(request),
  status: async () => status(),
  explain: async ({subject}) => ({notes: recorder.explain(subject)}),
  journal: async ({core, fromLine}) => journalPage(recorder, core, fromLine),
});

/** Maximum size of the journal lines in one reply, in bytes; a single longer line is still sent. */
const PAGE_BYTES = 1024 * 1024;

/** One page of the journal lines kept for a core. */
export const journalPage = (
  recorder: JournalRecorder,
  core: CoreName,
  fromLine: number,
): JournalPage => {
  const all = recorder.getLines(core);
  const lines: string[] = [];
  let bytes = 0;
  for (const line of all.slice(fromLine)) {
    if (lines.length > 0 && bytes + line.length > PAGE_BYTES) break;
    lines.push(line);
    bytes += line.length;
  }
  return {lines, hasMore: fromLine + lines.length < all.length};
};

/** Handlers of the calls that a node receives from other VMs. */
import type {WorkflowService} from '@primrosewick/coordination';
import type {
  LinkHello,
  LinkHelloReply,
  LinkLeaderReply,
} from '@primrosewick/protocol';
import {systemClock, type LinkHandlers} from '@primrosewick/transport';
import type {AdviceCalls} from './advice_calls.js';
import {answerConfirmed} from './confirmed_replica.js';
import {answerRead, type ReplicaReaders} from './replica_readers.js';
import type {ReplicatedLog} from './replicated_log.js';

/** What answers the calls; a VM without a disk has no log, service or readers. */
export interface NodeHandlersOptions {
  readonly hello: (from: LinkHello) => LinkHelloReply;
  readonly log: ReplicatedLog | null;
  readonly service: WorkflowService | null;
  readonly readers: ReplicaReaders | null;
  readonly adviceCalls: AdviceCalls;
  readonly readIndex: LinkHandlers['readIndex'];
}

const notLeader = <T>(): Promise<LinkLeaderReply<T>> =>
  Promise.resolve({kind: 'not_leader', leader: null});

/** Makes the handlers of one node. */
export const makeNodeHandlers = ({
  hello,
  log,
  service,
  readers,
  adviceCalls,
  readIndex,
}: NodeHandlersOptions): LinkHandlers => ({
  hello: async from => hello(from),
  consensus: async ({envelopes}, from) => ({
    envelopes: log ? await log.receive(from, envelopes) : [],
  }),
  readIndex,
  readWorkflow: (query, _from, _deadline, signal) =>
    answerRead(readers, query, signal),
  readConfirmed: request => answerConfirmed(readers, request, systemClock),
  workflow: (request, _from, deadline) =>
    service?.handle(request, deadline) ?? notLeader(),
  announceWorker: report => service?.announceWorker(report) ?? notLeader(),
  heardWorkers: request => service?.noteAnnouncements(request) ?? notLeader(),
  removeWorker: (request, _from, deadline) =>
    service?.removeWorker(request, deadline) ?? notLeader(),
  putBundle: request => service?.putBundle(request) ?? notLeader(),
  getBundle: () => service?.getBundle() ?? notLeader(),
  advise: request => adviceCalls.answer(request),
});

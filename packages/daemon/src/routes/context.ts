import type {
  AuthorityTask,
  ConsensusTask,
  EntryTask,
  IdempotentRequests,
  LogPort,
  ReplicaTask,
  ZoneLeaderPort,
} from '@primrosewick/coordination';
import type {Settings, VmStatus, WriteIdInput} from '@primrosewick/protocol';
import {
  CellError,
  type CellCommand,
  type CellResult,
  type HolderId,
  type WriteCommand,
  type ZoneId,
} from '@primrosewick/state';
import type {
  Clock,
  HttpReply,
  Metrics,
  PeerCaller,
} from '@primrosewick/transport';

import type {JournalRecorder} from '@primrosewick/coordination';

/** Parts of the daemon that the routes use. */
export interface RouteContext {
  readonly settings: Settings;
  readonly holder: HolderId;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly peers: PeerCaller;
  readonly replica: ReplicaTask;
  readonly log: LogPort;
  readonly entry: EntryTask;
  readonly idempotentRequests: IdempotentRequests;
  /** Ports to the leaders of all zones. */
  readonly leaders: ReadonlyMap<ZoneId, ZoneLeaderPort>;
  readonly authority: AuthorityTask;
  /** Consensus task of this VM's voter, once it has started. */
  readonly consensus: () => ConsensusTask<CellCommand, CellResult> | null;
  readonly recorder: JournalRecorder;
  readonly ownStatus: () => VmStatus;
  readonly isStopping: () => boolean;
}

/** Maximum time by which the send time of a write may be ahead of this VM's clock, in ms. */
const MAX_CLOCK_AHEAD_MS = 60_000;
/** Maximum time for which a response waits until this VM has applied the write, in ms. */
const APPLY_WAIT_MS = 2000;

/**
 * Commits a write of an operator or client; replies once this VM has applied
 * it, or after {@link APPLY_WAIT_MS}.
 */
export const commitWrite = async (
  context: RouteContext,
  write: WriteIdInput,
  body: WriteCommand,
): Promise<HttpReply> => {
  const at = context.clock.wall();
  if (write.firstSentAt > at + MAX_CLOCK_AHEAD_MS) {
    throw new CellError({
      code: 'invalid_input',
      step: 'check-write',
      peer: write.author,
      detail: 'write.firstSentAt is in the future',
    });
  }
  if (context.isStopping())
    throw new CellError({code: 'stopping', step: 'commit-write'});
  const result = await context.log.propose({at, write, body});
  if (!result.ok) throw CellError.fromBody(result.error);
  await waitForIndex(context, result.index);
  return replyOf(result);
};

const replyOf = (result: Extract<CellResult, {ok: true}>): HttpReply => ({
  status: 200,
  body: {index: result.index, ...result.value},
});

const waitForIndex = (context: RouteContext, index: number): Promise<void> =>
  new Promise(resolve => {
    const {replica} = context;
    if (replica.replica.index >= index) return resolve();
    const finish = (): void => {
      clearTimeout(timer);
      subscription.unsubscribe();
      resolve();
    };
    const timer = setTimeout(finish, APPLY_WAIT_MS);
    const subscription = replica.changes.subscribe(change => {
      if (change.index >= index) finish();
    });
  });

/**
 * Builds the reply to a read, with the index and the age of the state it shows.
 * @throws CellError `starting` while the VM has no current state.
 */
export const readReply = (
  context: RouteContext,
  body: Readonly<Record<string, unknown>>,
): HttpReply => {
  const {replica} = context;
  if (!replica.isReady) throw new CellError({code: 'starting', step: 'read'});
  return {
    status: 200,
    body: {
      index: replica.replica.index,
      staleMs: Math.round(replica.staleMs),
      ...body,
    },
  };
};

/** Checks that the name in the path equals the one in the body. */
export const checkName = (inPath: string | undefined, inBody: string): void => {
  if (inPath === inBody) return;
  throw new CellError({
    code: 'invalid_input',
    step: 'check-name',
    peer: 'client',
    detail: `the name in the path is "${inPath}", but in the body "${inBody}"`,
  });
};

/**
 * Returns the port to the leader of a zone.
 * @throws CellError `no_zone_leader` for a zone that the cell does not have.
 */
export const leaderOf = (
  context: RouteContext,
  zone: ZoneId,
): ZoneLeaderPort => {
  const port = context.leaders.get(zone);
  if (port) return port;
  throw new CellError({code: 'no_zone_leader', step: 'find-zone', peer: zone});
};

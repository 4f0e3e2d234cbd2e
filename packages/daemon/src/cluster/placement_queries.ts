/** Answers questions about where a job would go, at a voter. */
import type Logger from 'bunyan';
import type {QueueAddress} from '@primrosewick/protocol';
import {
  CellError,
  authenticate,
  customerOf,
  explainPlacement,
  matchQueue,
  planInputOf,
  type PlacementAnswer,
  type PlanInput,
  type WorkflowDb,
  type WorkflowSpec,
  type ZoneId,
} from '@primrosewick/state';
import {systemClock, type Clock} from '@primrosewick/transport';
import type {ClusterNodeOptions} from './node.js';

/**
 * Pause after an answer, per ms that it took, so that questions take at most a
 * tenth of the processor time.
 */
const PAUSE_FACTOR = 9;

/** Options of {@link PlacementQueries}. */
export interface PlacementQueriesOptions {
  readonly db: WorkflowDb;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly zone: ZoneId;
  /** Whether this VM's copy of the log may be read. */
  readonly isReadable: () => boolean;
  /** Inputs of a pass that would begin now, if this VM leads. */
  readonly leaderInput: () => PlanInput | undefined;
  /** Number of VMs that can call advisers. */
  readonly callerCount: () => number;
  readonly mayDeferUseless?: boolean;
  readonly mayShareZones?: boolean;
}

/** A job that is not sent, and where it would be. */
export interface PlacementQuery {
  /** The queue, with the digest of the caller's key. */
  readonly address: QueueAddress;
  readonly spec: WorkflowSpec;
}

/** Answer to a question. */
export type PlacementReply =
  | {readonly kind: 'unknown_queue'}
  | {readonly kind: 'unauthenticated'; readonly version: number}
  | {
      readonly kind: 'answer';
      readonly answer: PlacementAnswer & {
        /** Whether it has what only the leader knows. */
        readonly isFromLeader: boolean;
        /** Log index of the state that it is from. */
        readonly index: number;
      };
    };

/** Answers one question at a time, from this VM's state. */
export class PlacementQueries {
  /** Monotonic time from which the next question is answered, in ms. */
  private nextAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: PlacementQueriesOptions) {}

  /**
   * Answers a question.
   * @throws CellError `log_unavailable` without a copy that may be read, `starting`
   *   without a configuration, `too_many_requests` soon after another question.
   */
  answer({address, spec}: PlacementQuery): PlacementReply {
    const {db, clock, isReadable} = this.options;
    if (!isReadable())
      throw new CellError({code: 'log_unavailable', step: 'explain-placement'});
    const {bundle} = db;
    if (!bundle)
      throw new CellError({code: 'starting', step: 'explain-placement'});
    const match = matchQueue(bundle, address.host, address.path);
    if (!match || match.rest !== '') return {kind: 'unknown_queue'};
    const {queue} = match;
    const caller = authenticate(bundle, queue, address.credential);
    if (caller.kind === 'denied')
      return {kind: 'unauthenticated', version: bundle.version};
    const customer = customerOf(caller);
    const beganAt = this.begin();
    const leaderInput = this.options.leaderInput();
    const answer = explainPlacement(leaderInput ?? this.copyInput(), {
      queue,
      spec,
      zone: this.options.zone,
      ...(customer && {customer}),
    });
    const tookMs = clock.now() - beganAt;
    this.nextAt = clock.now() + PAUSE_FACTOR * tookMs;
    const isFromLeader = leaderInput !== undefined;
    this.log(answer, {isFromLeader, tookMs: Math.round(tookMs)});
    return {kind: 'answer', answer: {...answer, isFromLeader, index: db.index}};
  }

  /** @throws CellError `too_many_requests` during the pause after an answer. */
  private begin(): number {
    const now = this.options.clock.now();
    if (now >= this.nextAt) return now;
    throw new CellError({
      code: 'too_many_requests',
      step: 'explain-placement',
      retryAfterMs: Math.ceil(this.nextAt - now),
    });
  }

  /** Inputs of a pass without what only the leader knows. */
  private copyInput(): PlanInput {
    const {db, clock, callerCount, mayDeferUseless, mayShareZones} =
      this.options;
    const unusable = [...db.workers]
      .filter(([, {report}]) => report.isDraining)
      .map(([worker]) => worker);
    return planInputOf(
      {
        kind: 'pass',
        now: clock.now(),
        wall: clock.wall(),
        unusable,
        expected: [],
        heldBack: [],
        stopping: [],
        remaining: [],
        endingSoon: [],
        callerCount: callerCount(),
        preemptedAt: [],
        reserved: [],
        ...(mayDeferUseless && {mayDeferUseless}),
        ...(mayShareZones && {mayShareZones}),
      },
      {
        db,
        adviceOf: () => undefined,
        remainingMs: () => undefined,
        endsSoon: () => new Set(),
      },
    );
  }

  private log(
    {queue, customer, admission}: PlacementAnswer,
    found: {readonly isFromLeader: boolean; readonly tookMs: number},
  ): void {
    this.options.logger.info(
      {
        decision: 'where',
        queue: queue.name,
        ...(customer && {customer: customer.name}),
        admission: admission.kind,
        ...found,
        index: this.options.db.index,
      },
      'told where a job would go',
    );
  }
}

/** Makes the answers of a node. */
export const makePlacementQueries = (
  {settings, logger}: Pick<ClusterNodeOptions, 'settings' | 'logger'>,
  db: WorkflowDb,
  sources: Pick<
    PlacementQueriesOptions,
    'isReadable' | 'leaderInput' | 'callerCount'
  >,
): PlacementQueries =>
  new PlacementQueries({
    ...settings,
    ...sources,
    db,
    logger,
    clock: systemClock,
  });

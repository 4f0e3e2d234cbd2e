/** Serves requests of clients, workers and operators while this VM leads. */
import type {
  LinkLeaderReply,
  LinkMethods,
  QueueAddress,
  WorkflowReply,
  WorkflowRequest,
} from '@primrosewick/protocol';
import {
  CellError,
  assertNever,
  authenticate,
  customerOf,
  findBundleError,
  matchQueue,
  type Bundle,
  type Caller,
  type QueueMatch,
  type VmId,
  type WorkerRegistration,
  type WorkflowCommand,
  type WorkflowDb,
  type WorkflowId,
  type WorkflowResult,
} from '@primrosewick/state';
import {LeadershipCheckLog} from './leadership_check_log.js';
import {BundleWriter} from './bundle_writer.js';
import {CancellationRecorder} from './cancellation_recorder.js';
import {ReadIndexBatcher} from './read_index_batcher.js';
import {
  SubmissionRecorder,
  rejectInvalid,
  type SubmissionRecorderOptions,
} from './submission_recorder.js';
import type {WorkflowReplica} from './replica.js';
import {Departures, type DeparturesOptions} from './departures.js';
import {WorkerRegistry, type WorkerRegistryOptions} from './worker_registry.js';
import {
  answerOddSubmission,
  findTarget,
  isPathSegment,
  lookUp,
} from './workflow_view.js';

/** Access of the service to the replicated log. */
export interface LogAccess {
  /** Whether this VM leads and has applied all that was committed before its term. */
  readonly isLeading: boolean;
  readonly leaderVm: VmId | null;
  propose(command: WorkflowCommand): Promise<WorkflowResult>;
  readIndex(): Promise<number>;
}

/** Options of the service. */
export interface WorkflowServiceOptions
  extends
    Pick<
      WorkerRegistryOptions,
      'onAnnouncement' | 'checkLife' | 'answers' | 'onGivenUp'
    >,
    Pick<DeparturesOptions, 'depart'>,
    Omit<SubmissionRecorderOptions, 'db' | 'propose'> {
  readonly replica: WorkflowReplica;
  readonly log: LogAccess;
  /** Whether a text is an id that clients may choose; by default any path segment is. */
  readonly isWorkflowId?: (text: string) => boolean;
}

type Submission = Extract<WorkflowRequest, {kind: 'submit'}>;
type Cancellation = Extract<WorkflowRequest, {kind: 'cancel'}>;

/** Handles the calls of clients, workers and operators at the leader. */
export class WorkflowService {
  private readonly readIndexBatcher: ReadIndexBatcher;
  private readonly submissions: SubmissionRecorder;
  private readonly workers: WorkerRegistry;
  private readonly departures: Departures;
  private readonly bundles: BundleWriter;
  private readonly leadershipCheckLog: LeadershipCheckLog;
  private readonly cancellations: CancellationRecorder;

  constructor(private readonly options: WorkflowServiceOptions) {
    this.leadershipCheckLog = new LeadershipCheckLog(
      options.logger,
      options.clock,
    );
    this.submissions = new SubmissionRecorder({
      ...options,
      db: options.replica.db,
      propose: command => options.log.propose(command),
    });
    this.workers = new WorkerRegistry({
      ...options,
      db: () => options.replica.db,
      propose: command => options.log.propose(command),
    });
    this.departures = new Departures({
      ...options,
      db: () => options.replica.db,
      applied: options.replica.applied,
      propose: command => options.log.propose(command),
    });
    this.bundles = new BundleWriter({
      db: options.replica.db,
      propose: command => options.log.propose(command),
    });
    this.readIndexBatcher = new ReadIndexBatcher(() => options.log.readIndex());
    this.cancellations = new CancellationRecorder({
      ...options,
      db: options.replica.db,
      propose: command => options.log.propose(command),
    });
  }

  /**
   * Handles a client's call, whose caller waits until a deadline of the monotonic
   * clock in ms.
   */
  handle(
    request: WorkflowRequest,
    deadline = Number.POSITIVE_INFINITY,
  ): Promise<LinkLeaderReply<WorkflowReply>> {
    return this.runAsLeader(async () => {
      const match = await this.findQueue(request);
      if (request.kind === 'get') return this.get(request);
      if (!match) return {kind: 'unknown_queue'};
      const caller = this.authenticate(request, match);
      if (caller.kind === 'denied')
        return {kind: 'unauthenticated', version: this.bundleVersion};
      switch (request.kind) {
        case 'submit':
          return this.submit(request, match, caller, deadline);
        case 'cancel':
          return this.cancel(request, match, caller);
      }
    });
  }

  /** Handles a worker's announcement, and records it if it changes anything. */
  announceWorker(
    report: WorkerRegistration,
  ): Promise<LinkMethods['announceWorker']['reply']> {
    return this.runAsLeader(() => this.workers.announce(report));
  }

  /** Notes announcements without changes that other VMs have received. */
  noteAnnouncements({
    workers,
  }: LinkMethods['heardWorkers']['request']): Promise<
    LinkMethods['heardWorkers']['reply']
  > {
    return this.runAsLeader(async () => {
      for (const worker of workers) this.options.onAnnouncement(worker);
      return {count: workers.length};
    });
  }

  /**
   * Deregisters an incarnation of a worker, whose caller waits until a deadline
   * of the monotonic clock in ms.
   */
  removeWorker(
    request: LinkMethods['removeWorker']['request'],
    deadline: number,
  ): Promise<LinkMethods['removeWorker']['reply']> {
    return this.runAsLeader(() => this.departures.remove(request, deadline));
  }

  /**
   * Puts a bundle in force, unless a higher version already is.
   * @throws CellError `invalid_input` for a malformed bundle.
   */
  putBundle({
    bundle,
  }: LinkMethods['putBundle']['request']): Promise<
    LinkMethods['putBundle']['reply']
  > {
    return this.runAsLeader(async () => {
      rejectInvalid('put-bundle', findBundleError(bundle));
      const result = await this.bundles.put(bundle);
      this.options.logger.info(
        {
          decision: 'bundle',
          version: bundle.version,
          result,
          inForce: this.db.bundle?.version,
        },
        'processed a bundle update',
      );
      return {version: this.db.bundle?.version ?? bundle.version};
    });
  }

  /** The index that a replica must reach for a read that starts now. */
  readIndex(): Promise<LinkMethods['readIndex']['reply']> {
    return this.runAsLeader(async () => ({
      index: await this.readIndexBatcher.read(),
    }));
  }

  /** The bundle in force, read after this VM's leadership is confirmed. */
  getBundle(): Promise<LinkLeaderReply<{readonly bundle: Bundle | null}>> {
    return this.runAsLeader(async () => {
      await this.confirm();
      return {bundle: this.db.bundle};
    });
  }

  private get db(): WorkflowDb {
    return this.options.replica.db;
  }

  private async runAsLeader<T>(
    action: () => Promise<T>,
  ): Promise<LinkLeaderReply<T>> {
    const {log} = this.options;
    if (!log.isLeading) return {kind: 'not_leader', leader: log.leaderVm};
    try {
      const value = await action();
      return {kind: 'ok', value, index: this.db.index};
    } catch (err) {
      const isNotLeader = err instanceof CellError && err.code === 'not_leader';
      if (isNotLeader) return {kind: 'not_leader', leader: log.leaderVm};
      throw err;
    }
  }

  private propose(command: WorkflowCommand): Promise<WorkflowResult> {
    return this.options.log.propose(command);
  }

  /** Confirms by a quorum that this VM still leads, and that its state is current. */
  private async confirm(): Promise<void> {
    await this.readIndexBatcher.read();
  }

  private async findQueue({
    host,
    path,
    credential,
  }: WorkflowRequest): Promise<QueueMatch | undefined> {
    if (!this.db.bundle) await this.confirm();
    if (!this.db.bundle)
      throw new CellError({code: 'starting', step: 'find-queue'});
    const match = matchQueue(this.db.bundle, host, path);
    if (
      match &&
      this.isComplete(match) &&
      this.authenticate({credential}, match).kind !== 'denied'
    )
      return match;
    await this.confirm();
    return matchQueue(this.db.bundle, host, path);
  }

  private authenticate(
    {credential}: Pick<QueueAddress, 'credential'>,
    {queue}: QueueMatch,
  ): Caller {
    return authenticate(this.db.bundle ?? {}, queue, credential);
  }

  private get bundleVersion(): number {
    return this.db.bundle?.version ?? 0;
  }

  /** Whether a path is that of a queue or of a workflow, so that no nested queue can be meant. */
  private isComplete({rest}: QueueMatch): boolean {
    return rest === '' || this.isWorkflowId(rest);
  }

  private async submit(
    request: Submission,
    {queue, rest}: QueueMatch,
    caller: Caller,
    deadline: number,
  ): Promise<WorkflowReply> {
    const id = rest as WorkflowId;
    if (this.db.workflows.has(id)) return this.acknowledge(request, caller);
    if (!this.isWorkflowId(rest))
      return answerOddSubmission(this.db, request, rest);
    const {spec, zone} = request;
    const customer = customerOf(caller);
    await this.submissions.record({id, queue, spec, zone, customer}, deadline);
    return {kind: 'accepted'};
  }

  /**
   * Acknowledges a submission that was recorded earlier. No record proves here
   * that this VM still leads, so that it knows of revoked keys.
   */
  private async acknowledge(
    address: QueueAddress,
    caller: Caller,
  ): Promise<WorkflowReply> {
    if (caller.kind === 'unchecked') return {kind: 'accepted'};
    await this.confirm();
    const target = findTarget(this.db, address);
    return target.kind === 'unauthenticated' ? target : {kind: 'accepted'};
  }

  private isWorkflowId(text: string): boolean {
    const {isWorkflowId = isPathSegment} = this.options;
    return isWorkflowId(text);
  }

  private async get(address: QueueAddress): Promise<WorkflowReply> {
    await this.leadershipCheckLog.watch(address.path, this.confirm());
    return lookUp(this.db, address) ?? {kind: 'unknown_queue'};
  }

  private async cancel(
    request: Cancellation,
    {rest}: QueueMatch,
    caller: Caller,
  ): Promise<WorkflowReply> {
    await this.submissions.settled(rest as WorkflowId);
    await this.confirm();
    const target = findTarget(this.db, request);
    switch (target.kind) {
      case 'queue':
        return {kind: 'unknown_workflow'};
      case 'unknown_queue':
      case 'unauthenticated':
        return target;
      case 'unknown_workflow':
        return this.cancelUnknown(rest, request, caller);
      case 'workflow':
        return this.cancelKnown(target.workflow.id);
      default:
        return assertNever(target);
    }
  }

  private async cancelKnown(id: WorkflowId): Promise<WorkflowReply> {
    const {clock, logger} = this.options;
    const result = await this.propose({kind: 'cancel', id, at: clock.wall()});
    logger.info(
      {decision: 'cancel', req: id, result: result.kind, index: this.db.index},
      'processed a workflow cancellation',
    );
    return result.kind === 'no_workflow'
      ? {kind: 'unknown_workflow'}
      : {kind: 'cancelled'};
  }

  private async cancelUnknown(
    rest: string,
    {clientAddress = ''}: Cancellation,
    caller: Caller,
  ): Promise<WorkflowReply> {
    // No submission of such an id is accepted.
    if (!this.isWorkflowId(rest)) return {kind: 'unknown_workflow'};
    const canceller = customerOf(caller)?.name ?? clientAddress;
    const id = rest as WorkflowId;
    const outcome = await this.cancellations.record(id, canceller);
    return {kind: outcome === 'known' ? 'cancelled' : 'unknown_workflow'};
  }
}

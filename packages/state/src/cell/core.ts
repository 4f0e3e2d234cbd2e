/**
 * State machine of the cell log. Applying the same commands in the same
 * order gives the same state and the same answers on every VM.
 */
import {CellError, toCellError} from '../errors/cell_error.js';
import {
  asId,
  type JobId,
  type ProfileName,
  type ServiceName,
  type TeamName,
} from '../ids/types.js';
import {assertNever} from '../utils/assert_never.js';
import {digestOf} from './digest.js';
import {JobTable} from './jobs.js';
import {KeyTable} from './keys.js';
import {nextLogTime} from './log_time.js';
import {
  DEFAULT_CELL_LIMITS,
  type CellCommand,
  type CellImage,
  type CellLimits,
  type CellResult,
  type CellValue,
  type JobRecord,
  type KeyRecord,
  type ProfileRevision,
  type QuotaRecord,
  type ServiceRecord,
  type WriteCommand,
} from './types.js';
import {WriteRecords} from './write_records.js';

type CommandOf<K extends CellCommand['body']['kind']> = Extract<
  CellCommand['body'],
  {kind: K}
>;

/** The replicated state of the cell. */
export class CellState {
  private readonly limits: CellLimits;
  private readonly profiles = new Map<ProfileName, ProfileRevision[]>();
  private readonly services = new Map<ServiceName, ServiceRecord>();
  private readonly quotas = new Map<TeamName, QuotaRecord>();
  private readonly jobs: JobTable;
  private readonly keys: KeyTable;
  private readonly writes: WriteRecords;
  private appliedIndex = 0;
  /** Time of the log, in ms since 1970. */
  private time = 0;

  constructor(limits: Partial<CellLimits> = {}) {
    this.limits = {...DEFAULT_CELL_LIMITS, ...limits};
    this.jobs = new JobTable(this.limits);
    this.keys = new KeyTable(this.limits);
    this.writes = new WriteRecords(this.limits.maxWriteRecords);
  }

  /** Log index of the last command applied. */
  get index(): number {
    return this.appliedIndex;
  }

  /** @returns the latest revision of a profile, or undefined. */
  getProfile(name: ProfileName): ProfileRevision | undefined {
    return this.profiles.get(name)?.at(-1);
  }

  /** @returns the kept revisions of a profile, oldest first. */
  getHistory(name: ProfileName): readonly ProfileRevision[] {
    return this.profiles.get(name) ?? [];
  }

  /** The latest revision of each profile. */
  listProfiles(): ProfileRevision[] {
    return [...this.profiles.values()].flatMap(revisions =>
      revisions.slice(-1),
    );
  }

  /** @returns a service, or undefined. */
  getService(name: ServiceName): ServiceRecord | undefined {
    return this.services.get(name);
  }

  /** All services. */
  listServices(): ServiceRecord[] {
    return [...this.services.values()];
  }

  /** All quotas. */
  listQuotas(): QuotaRecord[] {
    return [...this.quotas.values()];
  }

  /** @returns a job, or undefined. */
  getJob(id: JobId): JobRecord | undefined {
    return this.jobs.getJob(id);
  }

  /** All jobs kept. */
  listJobs(): JobRecord[] {
    return this.jobs.listJobs();
  }

  /** @returns the record of an idempotency key, or undefined. */
  getKey(key: string): KeyRecord | undefined {
    return this.keys.getKey(key);
  }

  /**
   * Applies one committed command.
   * @param index - log index of the command, above all applied before.
   * @param command - the command.
   * @returns the answer for the proposer.
   */
  apply(index: number, command: CellCommand): CellResult {
    if (index <= this.appliedIndex) {
      throw new Error(`log index ${index} was already applied`);
    }
    this.appliedIndex = index;
    this.time = nextLogTime(this.time, command.at);
    if (!command.write) return this.run(index, command);
    return this.applyWrite(index, command, command.write);
  }

  /** Advances past an entry without a command. */
  skip(index: number): void {
    this.appliedIndex = Math.max(this.appliedIndex, index);
  }

  /** The whole state as plain data. */
  toImage(): CellImage {
    return {
      index: this.appliedIndex,
      time: this.time,
      profiles: [...this.profiles.values()],
      services: this.listServices(),
      quotas: this.listQuotas(),
      jobs: this.listJobs(),
      keys: this.keys.toImage(),
      ...this.writes.toImage(),
    };
  }

  /** Replaces the state by an image. */
  restore(image: CellImage): void {
    this.profiles.clear();
    this.services.clear();
    this.quotas.clear();
    for (const revisions of image.profiles) this.restoreProfile(revisions);
    for (const record of image.services)
      this.services.set(record.service.name, record);
    for (const quota of image.quotas) this.quotas.set(quota.team, quota);
    this.jobs.restore(image.jobs);
    this.keys.restore(image.keys);
    this.writes.restore(image.writes, image.writeFloor);
    this.appliedIndex = image.index;
    this.time = image.time;
  }

  private restoreProfile(revisions: readonly ProfileRevision[]): void {
    const first = revisions[0];
    if (first) this.profiles.set(first.profile.name, [...revisions]);
  }

  private applyWrite(
    index: number,
    command: CellCommand,
    write: NonNullable<CellCommand['write']>,
  ): CellResult {
    const digest = digestOf(resendIdentityOf(command.body as WriteCommand));
    try {
      const known = this.writes.getAnswer(write, digest);
      if (known) return known;
    } catch (err) {
      return {
        ok: false,
        error: toCellError(err, 'find-answer').toBody(),
        index,
      };
    }
    const result = this.run(index, command);
    this.writes.addAnswer({write, digest, result});
    return result;
  }

  private run(index: number, command: CellCommand): CellResult {
    try {
      return {ok: true, value: this.execute(index, command), index};
    } catch (err) {
      return {
        ok: false,
        error: toCellError(err, command.body.kind).toBody(),
        index,
      };
    }
  }

  private execute(index: number, command: CellCommand): CellValue {
    const body = command.body;
    switch (body.kind) {
      case 'put_profile':
        return this.putProfile(index, command, body);
      case 'put_service':
        return this.putService(body);
      case 'set_service_state':
        return this.setServiceState(body);
      case 'set_quota':
        this.quotas.set(body.team, {
          team: body.team,
          cpuMillis: body.cpuMillis,
        });
        return {kind: 'done'};
      case 'submit_job':
        return this.submitJob(index, command.at, body);
      case 'cancel_job':
        this.jobs.cancelJob(body.job);
        return {kind: 'done'};
      case 'record_starts':
        return {
          kind: 'starts',
          tasks: this.jobs.addStarts(body.tasks, body.epoch),
        };
      case 'finish_tasks':
        this.jobs.addEnds(body.ends);
        return {kind: 'done'};
      case 'claim_key':
        return {kind: 'key', ...this.claimKey(this.time, body)};
      case 'settle_key':
        this.keys.settleKey(body.key, body.claimant, body.answer);
        return {kind: 'done'};
      default:
        return assertNever(body);
    }
  }

  private putProfile(
    index: number,
    command: CellCommand,
    body: CommandOf<'put_profile'>,
  ): CellValue {
    const name = body.profile.name;
    const revisions = this.profiles.get(name) ?? [];
    const latest = revisions.at(-1);
    checkRevision(body.baseRevision, latest?.revision ?? 0, latest?.author);
    const revision = body.baseRevision + 1;
    const author = command.write?.author ?? 'daemon';
    const next = {
      revision,
      profile: body.profile,
      author,
      at: command.at,
      index,
    };
    this.profiles.set(
      name,
      [...revisions, next].slice(-this.limits.maxRevisions),
    );
    return {kind: 'revision', revision};
  }

  private putService(body: CommandOf<'put_service'>): CellValue {
    const {service, baseRevision} = body;
    if (!this.profiles.has(service.profile)) {
      throw new CellError({
        code: 'unknown_profile',
        step: 'put-service',
        detail: `no profile "${service.profile}"`,
      });
    }
    const known = this.services.get(service.name);
    checkRevision(baseRevision, known?.revision ?? 0, undefined);
    const revision = baseRevision + 1;
    this.services.set(service.name, {
      revision,
      service,
      state: known?.state ?? 'running',
    });
    return {kind: 'revision', revision};
  }

  private setServiceState(body: CommandOf<'set_service_state'>): CellValue {
    const known = this.services.get(body.service);
    if (!known)
      throw new CellError({code: 'unknown_service', step: 'set-service-state'});
    const revision = known.revision + 1;
    this.services.set(body.service, {...known, revision, state: body.state});
    return {kind: 'revision', revision};
  }

  private submitJob(
    index: number,
    at: number,
    body: CommandOf<'submit_job'>,
  ): CellValue {
    const profile = this.getProfile(body.spec.profile)?.profile;
    if (!profile) {
      throw new CellError({
        code: 'unknown_profile',
        step: 'submit-job',
        detail: `no profile "${body.spec.profile}"`,
      });
    }
    const id = asId<JobId>(`job-${index}`);
    this.jobs.addJob({
      id,
      spec: body.spec,
      homeZone: body.homeZone,
      state: 'open',
      profile,
      acceptedAt: at,
      acceptedIndex: index,
      started: [],
      ended: [],
    });
    return {kind: 'job', job: id};
  }

  private claimKey(at: number, body: CommandOf<'claim_key'>) {
    return this.keys.claimKey(body.key, {
      digest: body.digest,
      claimant: body.claimant,
      claimedAt: at,
      settleBy: body.settleBy,
    });
  }
}

/**
 * Part of a write that a resend must repeat; the zone through which it arrives
 * may differ.
 */
const resendIdentityOf = (body: WriteCommand): unknown =>
  body.kind === 'submit_job' ? {kind: body.kind, spec: body.spec} : body;

const checkRevision = (
  base: number,
  current: number,
  latestAuthor: string | undefined,
): void => {
  if (base === current) return;
  const by = latestAuthor ? ` by ${latestAuthor}` : '';
  throw new CellError({
    code: 'revision_conflict',
    step: 'check-revision',
    detail: `revision ${base} was given, but the latest is ${current}${by}`,
  });
};

/**
 * Records bundles at the leader. Load pattern: operators send a large bundle
 * again, to any VM, while it is not acknowledged, and many versions in quick
 * succession; each record goes to every voter, just when the leader is slow. A
 * version that is in force or overtaken needs no record to be acknowledged.
 */
import type {Bundle, WorkflowCommand, WorkflowDb} from '@primrosewick/state';

/** Options of a `BundleWriter`. */
export interface BundleWriterOptions {
  readonly db: Pick<WorkflowDb, 'bundle'>;
  readonly propose: (command: WorkflowCommand) => Promise<unknown>;
}

/** How a bundle was acknowledged: by its own record, by another, or by what is in force. */
export type BundleResult = 'recorded' | 'shared' | 'superseded';

/** Bundles that are being recorded, by one record. */
interface PendingBundle {
  /** The highest version that has come for this record. */
  bundle: Bundle;
  readonly done: Promise<void>;
}

/** Records one bundle at a time; those that come meanwhile share the next record. */
export class BundleWriter {
  private current: PendingBundle | undefined;
  private next: PendingBundle | undefined;

  constructor(private readonly options: BundleWriterOptions) {}

  /**
   * Puts a bundle in force, unless a higher version already is or is recorded.
   * @throws CellError of the proposal that would have recorded it or a higher one.
   */
  async put(bundle: Bundle): Promise<BundleResult> {
    const {version} = bundle;
    if (this.isInForce(version)) return 'superseded';
    if (this.current && this.current.bundle.version >= version)
      return this.share(this.current);
    if (this.next) {
      if (version > this.next.bundle.version) this.next.bundle = bundle;
      return this.share(this.next);
    }
    if (!this.current) return this.write(bundle);
    this.next = this.queue(bundle, this.current);
    return this.share(this.next);
  }

  private isInForce(version: number): boolean {
    const {bundle} = this.options.db;
    return bundle !== null && bundle.version >= version;
  }

  private async share({done}: PendingBundle): Promise<BundleResult> {
    await done;
    return 'shared';
  }

  private async write(bundle: Bundle): Promise<BundleResult> {
    const done = this.options
      .propose({kind: 'put_bundle', bundle})
      .then(() => undefined)
      .finally(() => {
        this.current = undefined;
      });
    this.current = {bundle, done};
    await done;
    return 'recorded';
  }

  private queue(bundle: Bundle, before: PendingBundle): PendingBundle {
    const done = before.done
      .catch(() => undefined)
      .then(async () => {
        this.next = undefined;
        await this.put(pending.bundle);
      });
    const pending: PendingBundle = {bundle, done};
    return pending;
  }
}

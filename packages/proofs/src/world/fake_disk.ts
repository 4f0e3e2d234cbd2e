import type {FileWrite} from '@primrosewick/coordination';
import type {Random} from '@primrosewick/state';

/** What a crash leaves of a write that was not synced. */
type CrashOutcome = 'nothing' | 'torn' | 'all';

/**
 * In-memory files whose writes survive a crash for certain only once synced.
 */
export class FakeDisk {
  private readonly files = new Map<string, Buffer>();
  private unsynced: FileWrite | null = null;
  /** Whether writes fail, as on a full disk or after a failed sync. */
  isFailing = false;

  constructor(private readonly random: Random) {}

  /** @returns the content of a file, or undefined. */
  read(file: string): Buffer | undefined {
    return this.files.get(file);
  }

  /** Begins a write; until it is synced, a crash may lose or tear it. */
  begin(write: FileWrite): void {
    this.unsynced = write;
  }

  /** Syncs the pending write. */
  sync(): void {
    if (this.unsynced) this.apply(this.unsynced, this.unsynced.bytes.length);
    this.unsynced = null;
  }

  /** Loses, tears or keeps the unsynced write; a replacement is never torn. */
  crash(): void {
    const write = this.unsynced;
    this.unsynced = null;
    if (!write) return;
    const crashOutcome = (['nothing', 'torn', 'all'] as const)[
      this.random.nextInt(0, 2)
    ] as CrashOutcome;
    if (crashOutcome === 'nothing') return;
    const isUntorn = crashOutcome === 'all' || write.kind === 'replace';
    this.apply(
      write,
      isUntorn
        ? write.bytes.length
        : this.random.nextInt(0, write.bytes.length),
    );
  }

  /** Truncates a file to a length, in bytes. */
  truncate(file: string, length: number): void {
    this.files.set(
      file,
      (this.files.get(file) ?? Buffer.alloc(0)).subarray(0, length),
    );
  }

  private apply(write: FileWrite, length: number): void {
    const before =
      write.kind === 'append'
        ? (this.files.get(write.file) ?? Buffer.alloc(0))
        : Buffer.alloc(0);
    this.files.set(
      write.file,
      Buffer.concat([before, write.bytes.subarray(0, length)]),
    );
  }
}

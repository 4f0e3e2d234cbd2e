/**
 * When a log is compacted. Load pattern: a few hundred changes of a large bundle
 * are more bytes than all other entries of a day, in memory, in the file that a
 * start reads back, and on the way to a member that lacks them.
 */

/** Applied entries of a log, which a snapshot would replace. */
export interface CompactableLog {
  readonly entries: number;
  /** Their approximate size, in bytes. */
  readonly bytes: number;
  /** Size of the file of the log, with entries that were overwritten since, in bytes. */
  readonly fileBytes: number;
  /** Size of the state in the last snapshot, in bytes. */
  readonly snapshotBytes: number;
  /** Whether another member lacks entries, which it would no longer get one by one. */
  readonly isLagging: boolean;
  /** Whether a member is being sent the last snapshot; that begins anew with another. */
  readonly isTransferring: boolean;
}

/** Sizes from which a log is compacted. */
export interface CompactionLimits {
  readonly entries: number;
  /** Bytes, or those of the last snapshot if that is larger, as it costs as much to write. */
  readonly bytes: number;
  /** Entries from which it is compacted even if a member lags behind. */
  readonly maxEntries: number;
  /** Bytes from which it is, however large the snapshot is. */
  readonly maxBytes: number;
  /** Bytes from which it is, even if a transfer of the snapshot begins anew. */
  readonly maxTransferBytes: number;
}

/** Default limits; the files of a voter take the largest log and two snapshots. */
export const COMPACTION_LIMITS: CompactionLimits = {
  entries: 4000,
  bytes: 8 * 1024 * 1024,
  maxEntries: 16_000,
  maxBytes: 16 * 1024 * 1024,
  maxTransferBytes: 32 * 1024 * 1024,
};

/** Whether a log should be compacted now. */
export const isCompactionDue = (
  log: CompactableLog,
  limits: CompactionLimits = COMPACTION_LIMITS,
): boolean => {
  const {entries, bytes, fileBytes, snapshotBytes} = log;
  const maxBytes = log.isTransferring
    ? limits.maxTransferBytes
    : limits.maxBytes;
  if (entries >= limits.maxEntries) return true;
  if (Math.max(bytes, fileBytes) >= maxBytes) return true;
  if (log.isLagging) return false;
  return (
    entries >= limits.entries || bytes >= Math.max(limits.bytes, snapshotBytes)
  );
};

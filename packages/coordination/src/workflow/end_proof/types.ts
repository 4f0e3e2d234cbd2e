/** What is known of a recorded run, and what of it proves that the run is over. */
import type {Branded, VoidReason} from '@primrosewick/state';

/**
 * Something that was learnt about recorded runs of one incarnation of a worker.
 * Times are monotonic, in ms.
 */
export type EndEvidence =
  /** The worker refused the start, so that it has not executed it. */
  | {readonly kind: 'start_refused'}
  /** The start was withheld, or no connection could be made for it. */
  | {readonly kind: 'start_not_sent'}
  /**
   * The worker's lists, with all its ends and under a fence that outdates
   * earlier orders, have neither the run nor its end.
   */
  | {readonly kind: 'not_listed'}
  /** The worker is silent; every lease granted to it lapses by `lapseAt`. */
  | {readonly kind: 'silence'; readonly now: number; readonly lapseAt: number}
  /**
   * Another incarnation answered at `calledAddress`; the runs were started at
   * `runsAddress`, or there are none.
   */
  | {
      readonly kind: 'other_answer';
      readonly calledAddress: string;
      readonly runsAddress: string | undefined;
    }
  /** It has deregistered, or somebody has in its name. */
  | {readonly kind: 'goodbye'}
  /** A later incarnation, or another address, was announced. */
  | {readonly kind: 'other_announced'};

/**
 * Proof that a run is over at the incarnation that it was meant for. Only `proofOf`
 * makes one.
 */
export type EndProof = VoidProof | ReplacedProof;

/** Proof for single runs. */
export type VoidProof = Branded<{readonly kind: VoidReason}, 'EndProof'>;

/**
 * Proof for all runs of an incarnation: its process has been replaced. Starts that it
 * never listed may yet be executed by the next one (`orphan_tracker`).
 */
export type ReplacedProof = Branded<{readonly kind: 'replaced'}, 'EndProof'>;

/** What an incarnation of a worker is known to do. */
export type LifeState =
  /** It answers. */
  | 'runs'
  /** It is proved to be over. */
  | 'over'
  /** It does not answer, or has no channel, which proves nothing. */
  | 'silent';

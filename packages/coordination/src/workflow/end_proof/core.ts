/**
 * The one answer to what proves that a run is over. A run without such a proof
 * is not given up, as its task would be started while it still runs.
 */
import {assertNever} from '@primrosewick/state';
import type {EndEvidence, EndProof} from './types.js';

/** @returns the proof that evidence gives, or undefined if the run may go on. */
export const proofOf = (evidence: EndEvidence): EndProof | undefined => {
  switch (evidence.kind) {
    case 'start_refused':
    case 'start_not_sent':
    case 'not_listed':
      return {kind: 'not_started'} as EndProof;
    case 'silence':
      return evidence.now >= evidence.lapseAt
        ? ({kind: 'lease_lapsed'} as EndProof)
        : undefined;
    case 'other_answer':
      // One process holds an address. One that was merely announced may be any other's.
      return evidence.calledAddress === evidence.runsAddress
        ? ({kind: 'replaced'} as EndProof)
        : undefined;
    // Words prove nothing: anyone can say them, and who says them may run on.
    case 'goodbye':
    case 'other_announced':
      return undefined;
    default:
      return assertNever(evidence);
  }
};

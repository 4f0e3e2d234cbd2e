/**
 * Journal of the decision cores: the events given to each, and what it decided.
 */
import type {DecisionNote} from '../requests/types.js';

/** Name of a decision core. */
export type CoreName = 'requests' | 'placement' | 'shares' | 'workflows';

/** One line of a journal. */
export type JournalLine =
  | {
      readonly kind: 'start';
      readonly core: CoreName;
      /** Options of a new core. */
      readonly options: unknown;
    }
  | {
      readonly kind: 'resume';
      readonly core: CoreName;
      /** Image of the core at this point, in base64. */
      readonly image: string;
    }
  | {
      readonly kind: 'step';
      readonly core: CoreName;
      readonly event: unknown;
      /** What the core decided, in the form in which it is compared. */
      readonly outcome: unknown;
      readonly notes: readonly DecisionNote[];
    };

/** Result of a replay. */
export type ReplayResult =
  | {readonly kind: 'same'; readonly steps: number}
  | {
      readonly kind: 'different';
      readonly steps: number;
      readonly line: number;
      readonly recorded: string;
      readonly replayed: string;
    };

/** Tells what an answer of the cell lacks, so that its reader does not take it for whole. */

/** Counts of a list and of the entries that it shows. */
interface ListCounts {
  readonly total: number;
  readonly shown: number;
  readonly what: string;
}

/** Tells of a list that shows only its latest entries; empty if it shows all. */
export const describeCutList = ({total, shown, what}: ListCounts): string =>
  total > shown ? `the latest ${shown} of ${total} ${what} are shown\n` : '';

/** Tells which VMs did not answer; empty if all did. */
export const describeSilentVms = (
  unanswered: ReadonlyArray<{readonly vm: string}> = [],
): string =>
  unanswered.length > 0
    ? `not answered by ${unanswered.map(({vm}) => vm).join(', ')}: what they keep is missing\n`
    : '';

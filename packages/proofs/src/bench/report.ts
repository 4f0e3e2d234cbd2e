/** Formats benchmark results as Markdown tables. */

/** One table; each row has a cell for every column. */
export interface Table {
  readonly heading: string;
  readonly columns: readonly string[];
  readonly rows: ReadonlyArray<ReadonlyArray<string | number>>;
}

/** Formats a table as Markdown. */
export const formatTable = ({heading, columns, rows}: Table): string => {
  const line = (cells: ReadonlyArray<string | number>): string =>
    `| ${cells.join(' | ')} |`;
  return [
    `## ${heading}`,
    '',
    line(columns),
    line(columns.map(() => '---')),
    ...rows.map(line),
    '',
  ].join('\n');
};

/** Quantile of the samples by the nearest-rank method; 0 without samples. */
export const quantile = (
  samples: readonly number[],
  fraction: number,
): number => {
  const sorted = [...samples].sort((a, b) => a - b);
  const index = Math.min(
    sorted.length - 1,
    Math.max(0, Math.ceil(fraction * sorted.length) - 1),
  );
  return sorted[index] ?? 0;
};

/** Rounds to at most `digits` decimal places. */
export const round = (value: number, digits = 1): number =>
  Number(value.toFixed(digits));

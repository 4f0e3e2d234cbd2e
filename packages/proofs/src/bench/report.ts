/** Tables of the bench, in Markdown. */

/** One table: a heading, the column names, and the rows. */
export interface Table {
  readonly heading: string;
  readonly columns: readonly string[];
  readonly rows: ReadonlyArray<ReadonlyArray<string | number>>;
}

/** Writes a table in Markdown. */
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

/** Value below which a part of the samples lies. */
export const quantile = (samples: readonly number[], part: number): number => {
  const sorted = [...samples].sort((a, b) => a - b);
  const at = Math.min(
    sorted.length - 1,
    Math.max(0, Math.ceil(part * sorted.length) - 1),
  );
  return sorted[at] ?? 0;
};

/** A number with at most `digits` digits after the point. */
export const round = (value: number, digits = 1): number =>
  Number(value.toFixed(digits));

/**
 * Formats rows as a table with aligned columns.
 * @param headings - one per column.
 * @param rows - text of the cells.
 */
export const formatTable = (
  headings: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string => {
  const all = [headings, ...rows];
  const widths = headings.map((_heading, column) =>
    Math.max(...all.map(row => row[column]?.length ?? 0)),
  );
  const lines = all.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return lines.join('\n') + '\n';
};

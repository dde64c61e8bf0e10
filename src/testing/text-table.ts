/** Plain text tables for the demo and the benchmark. */

/** Lays out rows under a heading; the first column is left-aligned, the others right-aligned. */
export function formatTable(
  heading: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const cells = [heading, ...rows.map((row) => row.map(formatCell))];
  const widths = heading.map((_, column) =>
    Math.max(...cells.map((row) => (row[column] ?? '').length)),
  );
  const lines = cells.map((row) =>
    row
      .map((cell, column) =>
        column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!),
      )
      .join('  '),
  );
  return lines.join('\n');
}

function formatCell(value: string | number): string {
  if (typeof value === 'string') return value;
  return Number.isInteger(value) ? `${value}` : value.toFixed(2);
}

/** Plain text tables for the command line, the demo and the benchmarks. */

export type Cell = string | number | bigint | boolean;

/** Right-aligned cells: digits with an optional sign, separators and percent sign. */
const NUMERIC = /^[-+]?\d[\d.,]*%?$/;

/**
 * Formats rows below a header. Pads the columns, right-aligns columns of numbers, and rounds
 * numbers to two decimals.
 */
export function formatTable(header: readonly string[], rows: readonly (readonly Cell[])[]): string {
  const body = rows.map((row) => row.map(formatCell));
  const texts = [header, ...body];
  const widths = header.map((_, column) =>
    Math.max(...texts.map((row) => row[column]?.length ?? 0)),
  );
  const isNumeric = header.map((_, column) => body.every((row) => NUMERIC.test(row[column] ?? '')));
  const lines = texts.map((row) =>
    row.map((text, column) => pad(text, widths[column] ?? 0, isNumeric[column] ?? false)),
  );
  return lines.map((line) => line.join('  ').trimEnd()).join('\n');
}

function formatCell(value: Cell): string {
  return String(typeof value === 'number' ? Math.round(value * 100) / 100 : value);
}

function pad(text: string, width: number, right: boolean): string {
  return right ? text.padStart(width) : text.padEnd(width);
}

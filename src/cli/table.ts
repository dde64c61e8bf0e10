/** Plain text tables. */

/** A cell of a table. */
export type Cell = string | number | bigint | boolean;

/** Formats rows below a header; columns are padded, numbers stand right. */
export function formatTable(header: readonly string[], rows: readonly (readonly Cell[])[]): string {
  const texts = [header, ...rows.map((row) => row.map(String))];
  const widths = header.map((_, column) =>
    Math.max(...texts.map((row) => row[column]?.length ?? 0)),
  );
  const isNumeric = header.map((_, column) =>
    rows.every((row) => typeof row[column] === 'number' || typeof row[column] === 'bigint'),
  );
  const lines = texts.map((row) =>
    row.map((text, column) => pad(text, widths[column] ?? 0, isNumeric[column] ?? false)),
  );
  return lines.map((line) => line.join('  ').trimEnd()).join('\n');
}

function pad(text: string, width: number, right: boolean): string {
  return right ? text.padStart(width) : text.padEnd(width);
}

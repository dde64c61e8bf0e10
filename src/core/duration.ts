/** Durations as text: a number followed by its unit, `ms` or `s`. */

const PATTERN = /^(\d+(?:\.\d+)?)(ms|s)$/;
const MS_PER_SECOND = 1_000;

/** Milliseconds of a duration such as `1500ms` or `2.5s`; undefined for any other value. */
export function parseDuration(value: unknown): number | undefined {
  const match = typeof value === 'string' ? PATTERN.exec(value) : null;
  if (match === null) return undefined;
  return Number(match[1]) * (match[2] === 's' ? MS_PER_SECOND : 1);
}

/** Writes milliseconds as a duration. */
export function formatDuration(milliseconds: number): string {
  return `${Math.round(milliseconds)}ms`;
}

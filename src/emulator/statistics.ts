/** Median and range of a value over the seeds. */

/** Median with the lowest and highest value. */
export interface Spread {
  readonly median: number;
  readonly min: number;
  readonly max: number;
}

/** Median of values; the mean of the middle two for an even count; 0 without values. */
export function median(values: readonly number[]): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length >> 1;
  const upper = sorted[middle]!;
  if (sorted.length % 2 === 1) return upper;
  const lower = sorted[middle - 1]!;
  return lower === upper ? upper : (lower + upper) / 2;
}

/** Median and range of values. */
export function spreadOf(values: readonly number[]): Spread {
  return {
    median: median(values),
    min: values.length === 0 ? 0 : Math.min(...values),
    max: values.length === 0 ? 0 : Math.max(...values),
  };
}

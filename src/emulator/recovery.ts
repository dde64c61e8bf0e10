/**
 * Recovery time: from the end of an overload's cause until goodput has recovered.
 *
 * Goodput of a window is the number of requests completed in time in it. Windows are smoothed
 * by a centred mean over {@link SMOOTHING_WINDOWS}, and divided by the requests sent in the
 * same windows, so that random variation of the arrivals does not count as loss. The level before
 * the cause is this share over the windows between the warm-up and the first cause. Recovery is
 * the first window after the cause's end from which the share stays at or above
 * {@link RECOVERED_SHARE} of that level for {@link STABLE_WINDOWS}.
 */
import { WINDOW_MS } from './recorder.js';

/** Windows in the centred mean. */
export const SMOOTHING_WINDOWS = 5;
/** Share of the level before the cause that counts as recovered. */
export const RECOVERED_SHARE = 0.95;
/** Windows for which the level must hold. */
export const STABLE_WINDOWS = 10;

/** Counts per window over all kinds. */
export interface GoodputSeries {
  readonly sent: readonly number[];
  readonly complete: readonly number[];
}

/** Times of a run, in milliseconds. */
export interface CauseTimes {
  readonly warmUpMs: number;
  readonly causeStartMs: number;
  readonly causeEndMs: number;
}

/**
 * Returns the recovery time in milliseconds, a whole number of windows; `undefined` when goodput
 * has not recovered by the end of the run.
 */
export function recoveryTime(series: GoodputSeries, times: CauseTimes): number | undefined {
  const shares = smoothedShares(series);
  const level = levelBeforeCause(series, times);
  const first = Math.ceil(times.causeEndMs / WINDOW_MS);
  let start = first;
  for (let window = first; window < shares.length; window += 1) {
    if (shares[window]! < RECOVERED_SHARE * level) start = window + 1;
    else if (window - start + 1 >= STABLE_WINDOWS) return (start - first) * WINDOW_MS;
  }
  return undefined;
}

/** Completed requests per sent request, smoothed. */
export function smoothedShares({ sent, complete }: GoodputSeries): number[] {
  const half = Math.floor(SMOOTHING_WINDOWS / 2);
  return sent.map((_, window) => {
    const from = Math.max(0, window - half);
    const to = Math.min(sent.length, window + half + 1);
    const offered = sum(sent.slice(from, to));
    return offered === 0 ? 0 : sum(complete.slice(from, to)) / offered;
  });
}

/** Completed requests per sent request between the warm-up and the first cause. */
export function levelBeforeCause({ sent, complete }: GoodputSeries, times: CauseTimes): number {
  const from = Math.floor(times.warmUpMs / WINDOW_MS);
  const to = Math.floor(times.causeStartMs / WINDOW_MS);
  const offered = sum(sent.slice(from, to));
  return offered === 0 ? 0 : sum(complete.slice(from, to)) / offered;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

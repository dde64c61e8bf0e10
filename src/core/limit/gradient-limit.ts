/**
 * Gradient limit: the limit follows the ratio of the long-term to the current latency
 * (the `Gradient2` algorithm of Netflix's concurrency-limits, after TCP Vegas). For
 * comparison: a target that slows down without queueing looks the same as one that queues,
 * so the limit falls when it should not.
 */
import type { ConcurrencyLimit, LimitSample } from './concurrency-limit.js';

export interface GradientLimitOptions {
  readonly initialLimit: number;
  readonly maxLimit: number;
}

/** Latency may exceed the long-term one by this factor without effect. */
const TOLERANCE = 1.5;
/** Weight of a new limit in the smoothed one. */
const SMOOTHING = 0.2;
/** Weight of one sample in the long-term latency. */
const LONG_WEIGHT = 1 / 600;
/** Weight of one sample in the current latency. */
const SHORT_WEIGHT = 0.1;
/** The long-term latency is lowered when it exceeds the current one by this factor. */
const MAX_DRIFT = 2;
const DRIFT_FACTOR = 0.95;

/** Limit by latency gradient. */
export class GradientLimit implements ConcurrencyLimit {
  private limit: number;
  private longMs: number | undefined;
  private shortMs = 0;

  constructor(private readonly options: GradientLimitOptions) {
    this.limit = options.initialLimit;
  }

  current(): number {
    return Math.floor(this.limit);
  }

  onComplete({ latencyMs, outcome, inFlight }: LimitSample): void {
    if (outcome !== 'success' && outcome !== 'timeout') return;
    this.updateLatencies(latencyMs);
    // While the limit is mostly unused, latency does not depend on it.
    if (inFlight < this.limit / 2) return;
    const gradient = Math.max(0.5, Math.min(1, (TOLERANCE * this.longMs!) / this.shortMs));
    const wanted = this.limit * gradient + Math.sqrt(this.limit);
    const smoothed = this.limit * (1 - SMOOTHING) + wanted * SMOOTHING;
    this.limit = Math.max(1, Math.min(this.options.maxLimit, smoothed));
  }

  private updateLatencies(latencyMs: number): void {
    if (this.longMs === undefined) {
      this.longMs = latencyMs;
      this.shortMs = latencyMs;
    }
    this.longMs += LONG_WEIGHT * (latencyMs - this.longMs);
    this.shortMs += SHORT_WEIGHT * (latencyMs - this.shortMs);
    if (this.longMs > MAX_DRIFT * this.shortMs) this.longMs *= DRIFT_FACTOR;
  }
}

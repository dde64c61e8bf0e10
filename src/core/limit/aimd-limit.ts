/**
 * Additive increase, multiplicative decrease of a concurrency limit, on latency and
 * failures, as TCP Reno does with its window (RFC 5681). For comparison.
 */
import type { ConcurrencyLimit, LimitSample } from './concurrency-limit.js';

export interface AimdLimitOptions {
  readonly initialLimit: number;
  readonly maxLimit: number;
  /** A mean latency above this multiple of the lowest mean counts as congestion. Default 2. */
  readonly congestionRatio?: number;
  /** Factor by which congestion reduces the limit. Default 0.9. */
  readonly decrease?: number;
  /** Shortest time between two decreases, in milliseconds. Default 100. */
  readonly decreaseIntervalMs?: number;
}

const DEFAULT_CONGESTION_RATIO = 2;
const DEFAULT_DECREASE = 0.9;
const DEFAULT_DECREASE_INTERVAL_MS = 100;
/** Weight of one sample in the mean latency. */
const LATENCY_WEIGHT = 0.02;
/** Samples before the mean latency is used. */
const WARM_UP_SAMPLES = 50;

/** Adds one per limit's worth of successful answers; by default takes off a tenth on congestion. */
export class AimdLimit implements ConcurrencyLimit {
  private limit: number;
  private samples = 0;
  private meanLatencyMs = 0;
  private lowestMeanMs = Infinity;
  private decreasedAt = -Infinity;

  constructor(private readonly options: AimdLimitOptions) {
    this.limit = options.initialLimit;
  }

  current(): number {
    return Math.floor(this.limit);
  }

  onComplete(sample: LimitSample): void {
    if (sample.outcome === 'cancelled' || sample.outcome === 'draining') return;
    if (sample.outcome === 'success') this.noteLatency(sample.latencyMs);
    if (this.isCongested(sample)) {
      this.decrease(sample.now);
    } else if (sample.inFlight >= this.current()) {
      this.limit = Math.min(this.options.maxLimit, this.limit + 1 / this.limit);
    }
  }

  private noteLatency(latencyMs: number): void {
    this.samples += 1;
    const weight = Math.max(LATENCY_WEIGHT, 1 / this.samples);
    this.meanLatencyMs += weight * (latencyMs - this.meanLatencyMs);
    if (this.samples < WARM_UP_SAMPLES) return;
    this.lowestMeanMs = Math.min(this.lowestMeanMs, this.meanLatencyMs);
  }

  private isCongested(sample: LimitSample): boolean {
    if (sample.outcome !== 'success') return true;
    const ratio = this.options.congestionRatio ?? DEFAULT_CONGESTION_RATIO;
    return this.meanLatencyMs > ratio * this.lowestMeanMs;
  }

  private decrease(now: number): void {
    const interval = this.options.decreaseIntervalMs ?? DEFAULT_DECREASE_INTERVAL_MS;
    if (now - this.decreasedAt < interval) return;
    this.decreasedAt = now;
    this.limit = Math.max(1, this.limit * (this.options.decrease ?? DEFAULT_DECREASE));
  }
}

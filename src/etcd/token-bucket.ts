/** Client-side rate limit for requests to the platform: a token bucket that can be paused. */
import type { Clock } from '../kernel/clock.js';

export interface TokenBucketOptions {
  readonly ratePerSecond: number;
  /** Requests that may be sent at once when the bucket is full. */
  readonly burst: number;
  /** Longest wait for a token, in milliseconds; requests that would wait longer are refused. */
  readonly maxWaitMs: number;
}

/** A token bucket from which requests reserve tokens in advance. */
export class TokenBucket {
  private readonly intervalMs: number;
  /** Time at which the bucket will be full, if no further token is reserved. */
  private fullAt = Number.NEGATIVE_INFINITY;
  private pausedUntil = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly options: TokenBucketOptions,
  ) {
    this.intervalMs = 1000 / options.ratePerSecond;
  }

  /**
   * Reserves a token.
   *
   * @returns milliseconds to wait, or undefined when that would be longer than `maxWaitMs`
   */
  reserve(): number | undefined {
    const now = this.clock.now();
    const fullAt = Math.max(this.fullAt, now) + this.intervalMs;
    const availableAt = fullAt - this.options.burst * this.intervalMs;
    const waitMs = Math.max(0, availableAt - now, this.pausedUntil - now);
    if (waitMs > this.options.maxWaitMs) return undefined;
    this.fullAt = fullAt;
    return waitMs;
  }

  /** Delays later requests by at least this time, after the service's rate limit was reached. */
  pause(durationMs: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.clock.now() + durationMs);
  }

  /** Remaining milliseconds of the pause; 0 when not paused. */
  get pauseRemainingMs(): number {
    return Math.max(0, this.pausedUntil - this.clock.now());
  }
}

/** Client-side rate limit towards the platform: a token bucket that can be held shut for a while. */
import type { Clock } from '../kernel/clock.js';

/** Limits of a bucket. */
export interface TokenBucketOptions {
  readonly ratePerSecond: number;
  /** Requests that may go at once after a pause. */
  readonly burst: number;
  /** Longest wait for a token, in milliseconds; a request that would wait longer is refused. */
  readonly maxWaitMs: number;
}

/** A token bucket in which requests reserve their turn. */
export class TokenBucket {
  private readonly intervalMs: number;
  /** Time at which the bucket will next be full again. */
  private fullAt = Number.NEGATIVE_INFINITY;
  private heldUntil = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly options: TokenBucketOptions,
  ) {
    this.intervalMs = 1000 / options.ratePerSecond;
  }

  /**
   * Reserves a turn.
   *
   * @returns milliseconds to wait, or undefined when that would be longer than `maxWaitMs`
   */
  reserve(): number | undefined {
    const now = this.clock.now();
    const fullAt = Math.max(this.fullAt, now) + this.intervalMs;
    const inTurn = fullAt - this.options.burst * this.intervalMs;
    const waitMs = Math.max(0, inTurn - now, this.heldUntil - now);
    if (waitMs > this.options.maxWaitMs) return undefined;
    this.fullAt = fullAt;
    return waitMs;
  }

  /** Lets nobody through for a while (the service has refused by rate). */
  hold(durationMs: number): void {
    this.heldUntil = Math.max(this.heldUntil, this.clock.now() + durationMs);
  }

  /** Milliseconds until the bucket is no longer held. */
  get heldForMs(): number {
    return Math.max(0, this.heldUntil - this.clock.now());
  }
}

/**
 * Retry time on refusals for load. How long an overload will last is not known; one that
 * has lasted `t` is expected to last about `t` more. The retry time therefore grows with the
 * overload, between bounds, and is spread over the callers.
 */
import { hashToUnit } from '../admission/admission-priority.js';

/** Shortest retry time before it is spread, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 100;
/** Longest retry time before it is spread, in milliseconds. */
export const MAX_RETRY_AFTER_MS = 10_000;
/** A pause of this length without refusals ends an overload, in milliseconds. */
const OVERLOAD_ENDS_AFTER_MS = 1_000;

/** Tracks how long an overload has lasted. */
export class RetryAfterEstimate {
  private since = 0;
  private lastRefusal = -Infinity;

  /** Retry time of a refusal now, in milliseconds: 0.5 to 1.5 times the estimate, evenly spread. */
  next(now: number, requestId: string): number {
    if (now - this.lastRefusal > OVERLOAD_ENDS_AFTER_MS) this.since = now;
    this.lastRefusal = now;
    const lasted = now - this.since;
    const expected = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, lasted));
    return Math.round(expected * (0.5 + hashToUnit(`retry ${requestId}`)));
  }
}

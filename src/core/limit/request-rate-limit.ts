/**
 * Request rate of one target, as the target itself states it in its answers. Requests are spaced at the rate
 * (generic cell rate algorithm), with a short tolerance so that a late timer does not lose capacity.
 */

/** Requests that the rate allows in this time may start together, in milliseconds. */
const BURST_TOLERANCE_MS = 100;
/**
 * Lowest rate at which requests start, per second. A target that states less, or 0, still gets trial requests,
 * because only an answer can show that its limit has changed.
 */
export const MIN_TRIAL_RATE = 0.4;

const MS_PER_SECOND = 1_000;

/** Limit in force and the time of the next start; times are monotonic, in milliseconds. */
export class RequestRateLimit {
  private stated: number | undefined;
  /** When an answer last stated the limit in force. */
  private statedAt = -Infinity;
  /** Time at which the next request is due at the rate. */
  private dueAt = -Infinity;

  /** Requests a second that the target allows; undefined: no limit. */
  get requestsPerSecond(): number | undefined {
    return this.stated;
  }

  /**
   * Applies what an answer states. A lower limit holds at once. A higher one, or none, holds only when the
   * request was sent after the last answer that stated the limit in force, because answers can overtake
   * one another.
   *
   * @param sentAt when the request of the answer was sent
   * @param requestsPerSecond undefined: the answer states no limit
   */
  note(now: number, sentAt: number, requestsPerSecond: number | undefined): void {
    const isLooser = (requestsPerSecond ?? Infinity) > (this.stated ?? Infinity);
    if (isLooser && sentAt < this.statedAt) return;
    if (requestsPerSecond !== undefined) this.statedAt = now;
    if (requestsPerSecond === this.stated) return;
    this.reschedule(now, requestsPerSecond);
    this.stated = requestsPerSecond;
  }

  /** Time from which `count` further requests may have started; at or before `now`: at once. */
  startableAt(now: number, count = 1): number {
    if (this.stated === undefined) return now;
    const last = Math.max(now, this.dueAt) + (count - 1) * this.spacingMs;
    return last - BURST_TOLERANCE_MS;
  }

  /** Records that a request starts. */
  noteStart(now: number): void {
    if (this.stated !== undefined) this.dueAt = Math.max(now, this.dueAt) + this.spacingMs;
  }

  /** Time between two requests at the rate, in milliseconds; 0 without a limit. */
  get spacingMs(): number {
    return this.stated === undefined ? 0 : spacingOf(this.stated);
  }

  /** A first limit starts with nothing in hand; a changed one keeps the share of the spacing that is left. */
  private reschedule(now: number, requestsPerSecond: number | undefined): void {
    if (requestsPerSecond === undefined) return;
    const spacingMs = spacingOf(requestsPerSecond);
    const left = this.stated === undefined ? 1 : Math.max(0, this.dueAt - now) / this.spacingMs;
    this.dueAt = now + left * spacingMs;
  }
}

function spacingOf(requestsPerSecond: number): number {
  return MS_PER_SECOND / Math.max(MIN_TRIAL_RATE, requestsPerSecond);
}

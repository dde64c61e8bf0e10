/** Spaces the returns of refused callers at a rate, so that they do not come back together. */

const MS_PER_SECOND = 1_000;

/** Times at which refused requests can be made again; monotonic, in milliseconds. */
export class RetrySchedule {
  private nextAt = -Infinity;

  /** @param maxRetryAfterMs longest retry time */
  constructor(private readonly maxRetryAfterMs: number) {}

  /**
   * Retry time for the last of `refused` further requests, in milliseconds.
   *
   * @param perSecond rate at which requests can be made
   */
  next(now: number, refused: number, perSecond: number): number {
    const spanMs = (refused * MS_PER_SECOND) / perSecond;
    this.nextAt = Math.min(now + this.maxRetryAfterMs, Math.max(now, this.nextAt) + spanMs);
    return this.nextAt - now;
  }
}

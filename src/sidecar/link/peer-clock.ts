/**
 * Estimates the time at the other end of a link; the estimate is never ahead of the actual time.
 *
 * The other end stamps its greeting and its answers with its monotonic clock. A stamp is older than its
 * arrival, so `stamp + time since its arrival` is at most the other end's current time. A message that
 * carries this estimate as its time of sending therefore never seems more recent to its receiver than it
 * is, and the receiver detects a message that was stuck in a broken connection for seconds.
 */
export class PeerClock {
  private offset: number | undefined;

  /**
   * Records a stamp. Every stamp gives a lower bound of the offset, and the highest is the closest. An answer
   * also gives an upper bound, since it was stamped after its call was sent. An estimate above that bound is
   * discarded: the other machine was suspended and its clock stood still, so calls that were stuck in a
   * broken connection would seem recent there.
   *
   * @param stamp monotonic time at the other end when it sent the message, in milliseconds
   * @param calledAt local time at which the answered call was sent; absent: the message answers no call
   */
  noteStamp(now: number, stamp: number, calledAt = -Infinity): void {
    const lowerBound = stamp - now;
    const isInvalid = this.offset === undefined || this.offset > stamp - calledAt;
    this.offset = isInvalid ? lowerBound : Math.max(this.offset!, lowerBound);
  }

  /** Discards the estimate, since the other process is a new one with its own clock. */
  reset(): void {
    this.offset = undefined;
  }

  /** Returns the estimated time at the other end; 0 before the first stamp. */
  at(now: number): number {
    return this.offset === undefined ? 0 : now + this.offset;
  }
}

/**
 * What time it is at the other end of a link, never later than it really is.
 *
 * The other end stamps its greeting and its answers with its monotonic clock. The stamp is older than the moment
 * at which it arrives, so `stamp + time since its arrival` is at most the other end's time now.
 * A message that carries this reckoning as its time of sending therefore never looks younger at
 * its receiver than it is, and one that lay in a broken connection for seconds is told by its age.
 */
export class PeerClock {
  private offset: number | undefined;

  /**
   * Every stamp gives a lower bound; the highest is the closest. An answer gives an upper bound too, since
   * it was stamped after its call was sent: a reckoning above it is void. The other machine was suspended,
   * and its clock stood still; calls that lie in a broken connection would look young there.
   *
   * @param stamp monotonic time at the other end when it sent, in milliseconds
   * @param calledAt local time at which the call that it answers was sent; absent: it answers none
   */
  note(now: number, stamp: number, calledAt = -Infinity): void {
    const lowest = stamp - now;
    const isVoid = this.offset === undefined || this.offset > stamp - calledAt;
    this.offset = isVoid ? lowest : Math.max(this.offset!, lowest);
  }

  /** The other process is a new one, with a clock of its own. */
  reset(): void {
    this.offset = undefined;
  }

  /** Reckoned time at the other end; 0 before the first stamp. */
  at(now: number): number {
    return this.offset === undefined ? 0 : now + this.offset;
  }
}

/**
 * Monotonic time that includes suspensions of the machine, like CLOCK_BOOTTIME, which Node.js does
 * not provide. During a suspension the monotonic clock stops and the wall clock does not, so a gain
 * of the wall clock is taken for a suspension. A forward jump of the wall clock makes elapsed times
 * look longer, never shorter. A backward jump is ignored; it hides a suspension only when both happen
 * between the same two readings.
 */

/** Smaller differences are no suspension: the two clocks are not read at the same instant. */
const SUSPENSION_TOLERANCE_MS = 50;

/** Estimates boot time from the monotonic clock and the wall clock; all times in milliseconds. */
export class BootTime {
  private suspendedMs = 0;
  /** Lead of the wall clock over the monotonic clock, as last accepted. */
  private wallAheadMs: number | undefined;

  /**
   * @param readMonotonic reads the monotonic clock
   * @param readWall reads the wall clock
   */
  constructor(
    private readonly readMonotonic: () => number,
    private readonly readWall: () => number,
  ) {}

  /** Current boot time; the zero point is arbitrary. */
  now(): number {
    const monotonicMs = this.readMonotonic();
    const aheadMs = this.readWall() - monotonicMs;
    const gainMs = aheadMs - (this.wallAheadMs ?? aheadMs);
    if (gainMs > SUSPENSION_TOLERANCE_MS) this.suspendedMs += gainMs;
    if (this.wallAheadMs === undefined || Math.abs(gainMs) > SUSPENSION_TOLERANCE_MS)
      this.wallAheadMs = aheadMs;
    return monotonicMs + this.suspendedMs;
  }
}

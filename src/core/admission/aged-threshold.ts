/** A threshold heard from elsewhere that fades when no newer one comes. */

/** Time for which a heard threshold holds in full, in milliseconds. */
export const HOLD_MS = 100;
/** Half-life of a heard threshold afterwards, in milliseconds. */
export const HALF_LIFE_MS = 300;

/** Thresholds below this are as good as none. */
const NEGLIGIBLE = 0.001;

/** One threshold with the time when it was heard. */
export class AgedThreshold {
  private value = 0;
  private receivedAt = -Infinity;

  /** Takes a newer threshold, higher or lower. */
  note(now: number, threshold: number): void {
    this.value = threshold;
    this.receivedAt = now;
  }

  /** Whether it was heard recently enough to hold in full. */
  isFresh(now: number): boolean {
    return now - this.receivedAt <= HOLD_MS;
  }

  /** The threshold, faded by age. */
  at(now: number): number {
    if (this.value === 0) return 0;
    const age = now - this.receivedAt - HOLD_MS;
    const decayed = age <= 0 ? this.value : this.value * 2 ** (-age / HALF_LIFE_MS);
    return decayed < NEGLIGIBLE ? 0 : decayed;
  }
}

/** A threshold received from elsewhere, which decays unless a newer one arrives. */

/** Time for which a received threshold applies unchanged, in milliseconds. */
export const HOLD_MS = 100;
/** Half-life of a received threshold after that time, in milliseconds. */
export const HALF_LIFE_MS = 300;

/** Thresholds below this count as 0. */
const NEGLIGIBLE = 0.001;

/** One threshold with the time when it was received. */
export class AgedThreshold {
  private value = 0;
  private receivedAt = -Infinity;

  /** Replaces the threshold by a newer one, higher or lower. */
  note(now: number, threshold: number): void {
    this.value = threshold;
    this.receivedAt = now;
  }

  /** Whether it was received recently enough to apply unchanged. */
  isFresh(now: number): boolean {
    return now - this.receivedAt <= HOLD_MS;
  }

  /** The threshold, decayed by its age. */
  at(now: number): number {
    if (this.value === 0) return 0;
    const age = now - this.receivedAt - HOLD_MS;
    const decayed = age <= 0 ? this.value : this.value * 2 ** (-age / HALF_LIFE_MS);
    return decayed < NEGLIGIBLE ? 0 : decayed;
  }
}

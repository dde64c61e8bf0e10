/**
 * Offered load by admission priority, in slots (erlangs): expected slot time of the
 * requests offered per unit of time.
 *
 * Requests below the threshold are refused upstream and stop arriving, so their load is
 * retained and decays slowly; load above the threshold follows the arrivals.
 */

/** Number of buckets over [0, 1); a multiple of the number of criticality classes. */
export const BUCKETS = 128;

/** Offered load, smoothed exponentially. */
export class OfferedLoad {
  private readonly smoothed = new Float64Array(BUCKETS);
  private readonly interval = new Float64Array(BUCKETS);

  /** Adds the expected slot time of one request. */
  add(priority: number, workMs: number): void {
    const bucket = bucketOf(priority);
    this.interval[bucket] = this.interval[bucket]! + workMs;
  }

  /**
   * Ends an interval of `elapsedMs`.
   *
   * @param threshold buckets below it keep their load, apart from the decay
   * @param smoothingMs time constant above the threshold
   * @param retentionMs time constant below the threshold when nothing arrives
   */
  endInterval(
    elapsedMs: number,
    threshold: number,
    smoothingMs: number,
    retentionMs: number,
  ): void {
    const smoothingFactor = Math.exp(-elapsedMs / smoothingMs);
    const retentionFactor = Math.exp(-elapsedMs / retentionMs);
    const firstAdmitted = Math.ceil(threshold * BUCKETS);
    for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
      const before = this.smoothed[bucket]!;
      const updated =
        before * smoothingFactor + (this.interval[bucket]! / elapsedMs) * (1 - smoothingFactor);
      const retained = bucket < firstAdmitted ? before * retentionFactor : 0;
      this.smoothed[bucket] = Math.max(updated, retained);
      this.interval[bucket] = 0;
    }
  }

  /** Offered load of all priorities, in slots. */
  total(): number {
    return this.smoothed.reduce((sum, load) => sum + load, 0);
  }

  /** Lowest threshold above which the load takes at most `slots`; 0 when all of it fits. */
  thresholdFor(slots: number): number {
    let left = slots;
    for (let bucket = BUCKETS - 1; bucket >= 0; bucket -= 1) {
      const load = this.smoothed[bucket]!;
      if (load > left) return (bucket + 1 - left / load) / BUCKETS;
      left -= load;
    }
    return 0;
  }
}

function bucketOf(priority: number): number {
  return Math.min(BUCKETS - 1, Math.floor(priority * BUCKETS));
}

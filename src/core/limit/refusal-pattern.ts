/**
 * Distinguishes a target that refuses because it is full from one that refuses whatever its load.
 * A full target accepts requests while few are in flight; a faulty one refuses then as well. If it
 * counted as full, the limit of a target that refuses at random would fall further and further.
 */

/** Time in which the weight of an attempt decays to about a third, in milliseconds. */
const TIME_CONSTANT_MS = 1_000;
/** Fewest refusals at low load that count as a sign of a fault. */
const MIN_LOW_LOAD_REFUSALS = 2;
/** Below this share, refusals at low load may come from steps above what a full target can take. */
const MIN_LOW_LOAD_SHARE = 0.03;
/** Share of the limit up to which load is low: a target that can take half of it counts as full. */
const LOW_LOAD_SHARE = 0.5;
/** A faulty target's share of refusals at low load is at least this part of that at high load. */
const MIN_SHARE_RATIO = 0.5;

/** Numbers of attempts at one level of load; they decay with time. */
interface Level {
  refused: number;
  ended: number;
}

/** Refusals of one target at low and at high load. */
export class RefusalPattern {
  private readonly low: Level = { refused: 0, ended: 0 };
  private readonly high: Level = { refused: 0, ended: 0 };
  private updatedAt = 0;

  /**
   * Records the end of an attempt.
   *
   * @param inFlight requests in flight just before, this one included
   * @param limit the limit without a bound by refusals
   */
  note(now: number, refused: boolean, inFlight: number, limit: number): void {
    this.decay(now);
    const level = inFlight <= LOW_LOAD_SHARE * limit ? this.low : this.high;
    level.ended += 1;
    if (refused) level.refused += 1;
  }

  /** Whether the target refuses whatever its load. */
  get isIndependentOfLoad(): boolean {
    const share = shareOf(this.low);
    if (this.low.refused < MIN_LOW_LOAD_REFUSALS || share < MIN_LOW_LOAD_SHARE) return false;
    return share >= MIN_SHARE_RATIO * shareOf(this.high);
  }

  private decay(now: number): void {
    const factor = Math.exp((this.updatedAt - now) / TIME_CONSTANT_MS);
    this.updatedAt = now;
    for (const level of [this.low, this.high]) {
      level.refused *= factor;
      level.ended *= factor;
    }
  }
}

function shareOf({ refused, ended }: Level): number {
  return ended === 0 ? 0 : refused / ended;
}

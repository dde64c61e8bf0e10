/**
 * Tells a target that refuses because it is full from one that refuses whatever its load: a full
 * target takes what comes while few requests are in flight, a faulty one refuses then as well.
 * Taken for full, a target that refuses at random would be given ever less.
 */

/** Time after which an attempt counts for a third, in milliseconds. */
const TIME_CONSTANT_MS = 1_000;
/** Refusals at low load from which they say something. */
const MIN_LOW_LOAD_REFUSALS = 2;
/** Share of refusals at low load below which they may be steps above what a full target holds. */
const MIN_LOW_LOAD_SHARE = 0.03;
/** Share of the limit up to which load is low: a target that holds half of it counts as full. */
const LOW_LOAD_SHARE = 0.5;
/** At low load a faulty target refuses at least this part of what it refuses at high load. */
const MIN_SHARE_RATIO = 0.5;

/** Attempts at one level of load; they decay with time. */
interface Level {
  refused: number;
  ended: number;
}

/** See the module comment. */
export class RefusalPattern {
  private readonly low: Level = { refused: 0, ended: 0 };
  private readonly high: Level = { refused: 0, ended: 0 };
  private updatedAt = 0;

  /**
   * Takes in the end of an attempt.
   *
   * @param inFlight requests in flight just before, this one included
   * @param limit the limit if nothing were refused
   */
  note(now: number, refused: boolean, inFlight: number, limit: number): void {
    this.decay(now);
    const level = inFlight <= LOW_LOAD_SHARE * limit ? this.low : this.high;
    level.ended += 1;
    if (refused) level.refused += 1;
  }

  /** Whether refusals come whatever the load is. */
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

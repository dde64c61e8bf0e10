/**
 * Keeps classes from starving under a lasting shortage. The order of classes alone leaves the lowest one next to
 * nothing for as long as the shortage lasts, and each error of the estimated capacity falls on it. A class that has
 * been served much less often than all requests gets a minimum share, however late it comes in the order.
 */
import { CRITICALITIES } from '../request.js';

/** Time constant in which shares are averaged, in milliseconds. A shorter shortage follows the order alone. */
const MEMORY_MS = 500;
/** A class served less than this part as often as all requests gets its whole minimum share. */
const STARVED_PART = 0.25;
/** Part at which the minimum share begins to rise, so that plans don't jump. */
const BEGIN_PART = 0.35;
/** Minimum share as a part of the share of all requests. */
const MINIMUM_PART = 0.3;

/** What a plan admits of one class. */
export interface ClassService {
  /** Requests a second; 0: the class has no demand. */
  readonly perSecond: number;
  readonly share: number;
}

/** Shares of the classes of one service, averaged over the last plans. */
export class ClassBalance {
  private readonly byRank = CRITICALITIES.map(() => 1);
  private all = 1;
  private notedAt: number | undefined;

  /** Records a plan, with each class by rank. */
  notePlan(now: number, classes: readonly ClassService[]): void {
    const weight = 1 - Math.exp(((this.notedAt ?? now) - now) / MEMORY_MS);
    this.notedAt = now;
    const perSecond = classes.reduce((sum, each) => sum + each.perSecond, 0);
    const admitted = classes.reduce((sum, each) => sum + each.perSecond * each.share, 0);
    const share = perSecond > 0 ? admitted / perSecond : 1;
    this.all += (share - this.all) * weight;
    classes.forEach((each, rank) => {
      const served = each.perSecond > 0 ? each.share : 1;
      this.byRank[rank]! += (served - this.byRank[rank]!) * weight;
    });
  }

  /** Share that each class gets at least in the next plan, by rank. */
  minimumShares(): readonly number[] {
    return this.byRank.map((share) => {
      const part = share / this.all;
      const lag = (BEGIN_PART - part) / (BEGIN_PART - STARVED_PART);
      return MINIMUM_PART * this.all * Math.min(1, Math.max(0, lag));
    });
  }
}

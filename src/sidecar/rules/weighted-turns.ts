/**
 * Smooth weighted round robin (as in nginx): each service gets its share in every stretch of
 * turns, evenly spread, without random numbers.
 */
import type { ServiceShare } from './routing-rules.js';

interface Turn {
  readonly share: ServiceShare;
  credit: number;
}

/** Deals out turns by weight. */
export class WeightedTurns {
  private readonly turns: readonly Turn[];
  private readonly total: number;

  /** @param shares at least one with a weight above 0 */
  constructor(shares: readonly ServiceShare[]) {
    this.turns = shares.filter(({ weight }) => weight > 0).map((share) => ({ share, credit: 0 }));
    this.total = this.turns.reduce((sum, { share }) => sum + share.weight, 0);
  }

  /** Service of the next turn. */
  next(): string {
    const [first] = this.turns;
    if (this.turns.length === 1) return first!.share.service;
    let best = first!;
    for (const turn of this.turns) {
      turn.credit += turn.share.weight;
      if (turn.credit > best.credit) best = turn;
    }
    best.credit -= this.total;
    return best.share.service;
  }
}

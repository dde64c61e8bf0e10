/**
 * Smooth weighted round robin (as in nginx): each service gets its share of every sequence of requests,
 * evenly spread, without random numbers.
 */
import type { ServiceShare } from './routing-rules.js';

interface WeightedEntry {
  readonly share: ServiceShare;
  credit: number;
}

/** Chooses services in proportion to their weights. */
export class WeightedRoundRobin {
  private readonly entries: readonly WeightedEntry[];
  private readonly total: number;

  /** @param shares at least one with a weight above 0 */
  constructor(shares: readonly ServiceShare[]) {
    this.entries = shares.filter(({ weight }) => weight > 0).map((share) => ({ share, credit: 0 }));
    this.total = this.entries.reduce((sum, { share }) => sum + share.weight, 0);
  }

  /** Service of the next request. */
  next(): string {
    const [first] = this.entries;
    if (this.entries.length === 1) return first!.share.service;
    let best = first!;
    for (const entry of this.entries) {
      entry.credit += entry.share.weight;
      if (entry.credit > best.credit) best = entry;
    }
    best.credit -= this.total;
    return best.share.service;
  }
}

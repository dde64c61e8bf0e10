/**
 * Limit of a target that declares its slots. It is never above them, and below them when the target
 * answers more requests with fewer at a time, or refuses because it is full.
 */
import type { ConcurrencyLimit, LimitSample } from './concurrency-limit.js';
import { KneeSearch } from './knee-search.js';
import { RefusalCeiling } from './refusal-ceiling.js';

/** Combines a search below the declared slots with a ceiling set by refusals. */
export class DeclaredLimit implements ConcurrencyLimit {
  private readonly knee: KneeSearch;
  private readonly ceiling = new RefusalCeiling();

  /** @param slots requests that the target serves at a time, as it declares */
  constructor(private readonly slots: number) {
    this.knee = new KneeSearch(slots);
  }

  current(): number {
    return this.ceiling.apply(Math.min(this.slots, this.knee.current()));
  }

  onComplete({ now, kind, latencyMs, outcome, inFlight, queued }: LimitSample): void {
    if (outcome === 'overloaded') this.ceiling.onRefused(now, inFlight);
    if (outcome !== 'success') return;
    this.ceiling.onSuccess(now, inFlight);
    this.knee.onSuccess({ now, kind, latencyMs, queued });
  }
}

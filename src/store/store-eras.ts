/**
 * Eras of the store. A store that comes back from an older copy of itself has forgotten what it
 * acknowledged since, gives the same revisions and leases out again, and tells so by a number in each
 * answer that rises by one each time. What was learned in an earlier era is void in a later one.
 */

import type { StoreEraSink } from './metadata-store.js';

/** Called when the store has come back from an older copy. */
export type EraListener = (era: number, previous: number) => void;

/** See the module comment. */
export class StoreEras implements StoreEraSink {
  private newest: number | undefined;
  private readonly listeners: EraListener[] = [];

  /** Newest era that an answer has told; undefined: none, or the store tells none. */
  get current(): number | undefined {
    return this.newest;
  }

  /** Listeners are called in the order in which they were added. */
  onChange(listener: EraListener): void {
    this.listeners.push(listener);
  }

  /** An answer of an earlier era was under way while the store changed. */
  accept(era: number | undefined): boolean {
    const previous = this.newest;
    if (era === undefined || era === previous) return true;
    if (previous !== undefined && era < previous) return false;
    this.newest = era;
    if (previous === undefined) return true;
    for (const listener of this.listeners) listener(era, previous);
    return true;
  }
}

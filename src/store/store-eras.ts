/**
 * Eras of the store. A store that is restored from an older copy of its data has lost what it
 * acknowledged since that copy, and assigns the same revisions and leases again. Each answer carries
 * the era, a number that increases by one with each restore. What was read in an earlier era is no
 * longer valid in a later one.
 */

import type { StoreEraSink } from './metadata-store.js';

/** Called when the store has been restored from an older copy. */
export type EraListener = (era: number, previous: number) => void;

/** Tracks the newest era and notifies listeners when it changes. */
export class StoreEras implements StoreEraSink {
  private newest: number | undefined;
  private readonly listeners: EraListener[] = [];

  /** Newest era received; undefined: no answer yet, or the store sends no era. */
  get current(): number | undefined {
    return this.newest;
  }

  /** Listeners are called in the order in which they were added. */
  onChange(listener: EraListener): void {
    this.listeners.push(listener);
  }

  /** Rejects answers of an earlier era, which were in transit while the store was restored. */
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

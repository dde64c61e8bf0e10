/** Updates waiting to be gossiped, each sent a limited number of times. */
import { measureUpdate, subjectOf, type MemberUpdate } from './member-update.js';

/** Key of the newest rules version; no node id has this form. */
const NEWEST_VERSION_KEY = '#version';

/** Lower bound of an update's size; below it, the search for one that fits ends. */
const MIN_UPDATE_BYTES = 40;

interface QueuedUpdate {
  readonly update: MemberUpdate;
  readonly bytes: number;
  transmits: number;
}

/**
 * At most one claim per member, and one rules version; a newer one replaces an older one.
 * Updates that were sent least often go first.
 */
export class GossipQueue {
  private readonly entries = new Map<string, QueuedUpdate>();
  /** Keys by number of transmissions, so that no datagram requires sorting. */
  private readonly tiers: Set<string>[] = [];

  /** Whether no update waits. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Whether a claim about a member still waits to be sent for the first time or again. */
  has(nodeId: string): boolean {
    return this.entries.has(nodeId);
  }

  /** Adds an update. */
  push(update: MemberUpdate): void {
    const key = keyOf(update);
    this.remove(key);
    this.entries.set(key, { update, bytes: measureUpdate(update), transmits: 0 });
    this.tier(0).add(key);
  }

  /** Removes the waiting claim about a member. */
  remove(nodeId: string): void {
    const entry = this.entries.get(nodeId);
    if (entry === undefined) return;
    this.entries.delete(nodeId);
    this.tier(entry.transmits).delete(nodeId);
  }

  /**
   * Takes the updates for one datagram.
   *
   * @param maxBytes largest total size of the updates, those of `first` included
   * @param maxTransmits transmissions after which an update is dropped
   * @param first updates to put first, not counted as transmissions
   */
  select(
    maxBytes: number,
    maxTransmits: number,
    first: readonly MemberUpdate[] = [],
  ): MemberUpdate[] {
    const leading = new Set(first.map(keyOf));
    const keys: string[] = [];
    let left = maxBytes - first.reduce((sum, update) => sum + measureUpdate(update), 0);
    for (const tier of this.tiers) {
      for (const key of tier) {
        if (left < MIN_UPDATE_BYTES) break;
        const { bytes } = this.entries.get(key)!;
        if (bytes > left || leading.has(key)) continue;
        keys.push(key);
        left -= bytes;
      }
    }
    return [...first, ...keys.map((key) => this.countTransmit(key, maxTransmits))];
  }

  private countTransmit(key: string, maxTransmits: number): MemberUpdate {
    const entry = this.entries.get(key)!;
    this.tier(entry.transmits).delete(key);
    entry.transmits += 1;
    if (entry.transmits >= maxTransmits) this.entries.delete(key);
    else this.tier(entry.transmits).add(key);
    return entry.update;
  }

  private tier(transmits: number): Set<string> {
    this.tiers[transmits] ??= new Set();
    return this.tiers[transmits];
  }
}

function keyOf(update: MemberUpdate): string {
  return update.type === 'version' ? NEWEST_VERSION_KEY : subjectOf(update);
}

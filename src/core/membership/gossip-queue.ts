/** Updates waiting to be spread, each sent a limited number of times. */
import {
  measureUpdate,
  subjectOf,
  type MemberUpdate,
  type VersionUpdate,
} from './member-update.js';

/** Key of the newest rules version among the urgent updates; no node id looks like it. */
const NEWEST_VERSION = '#version';

interface QueuedUpdate {
  readonly update: MemberUpdate;
  readonly bytes: number;
  transmits: number;
}

type UpdateMap = Map<string, QueuedUpdate>;

/**
 * At most one update per member and class; a newer one replaces an older one. Updates that
 * were sent least often go first. Rules versions form a class of their own that fills
 * what room the others leave, because a change of the rules moves all members at once.
 */
export class GossipQueue {
  private readonly urgent: UpdateMap = new Map();
  private readonly versions: UpdateMap = new Map();

  /** Whether state changes wait. */
  get hasUrgent(): boolean {
    return this.urgent.size > 0;
  }

  /** Whether anything waits. */
  get isEmpty(): boolean {
    return this.urgent.size === 0 && this.versions.size === 0;
  }

  /** Whether an update about a member still waits to be sent for the first time or again. */
  has(nodeId: string): boolean {
    return this.urgent.has(nodeId);
  }

  /** Adds a claim other than a rules version. */
  push(update: Exclude<MemberUpdate, VersionUpdate>): void {
    put(this.urgent, subjectOf(update), update);
  }

  /** Adds a rules version; `isNews` when it is higher than any that this node knew. */
  pushVersion(update: VersionUpdate, isNews: boolean): void {
    if (isNews) put(this.urgent, NEWEST_VERSION, update);
    else put(this.versions, update.nodeId, update);
  }

  /** Drops what waits about a member. */
  remove(nodeId: string): void {
    this.urgent.delete(nodeId);
    this.versions.delete(nodeId);
  }

  /**
   * Takes the updates for one datagram.
   *
   * @param room bytes
   * @param limit sendings after which an update is dropped
   * @param first updates that must lead, not counted as sendings
   */
  select(room: number, limit: number, first: readonly MemberUpdate[] = []): MemberUpdate[] {
    const selected = [...first];
    const taken = new Set(first.map(subjectOf));
    let left = room - first.reduce((sum, update) => sum + measureUpdate(update), 0);
    for (const queue of [this.urgent, this.versions]) {
      const ordered = [...queue].sort(([, a], [, b]) => a.transmits - b.transmits);
      for (const [nodeId, entry] of ordered) {
        if (entry.bytes > left || (queue === this.urgent && taken.has(nodeId))) continue;
        selected.push(entry.update);
        left -= entry.bytes;
        entry.transmits += 1;
        if (entry.transmits >= limit) queue.delete(nodeId);
      }
    }
    return selected;
  }
}

function put(queue: UpdateMap, key: string, update: MemberUpdate): void {
  queue.delete(key);
  queue.set(key, { update, bytes: measureUpdate(update), transmits: 0 });
}

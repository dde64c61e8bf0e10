/** The members that this node knows, other than itself, and the tombstones of evicted ones. */
import type { Member, MemberFacts, MemberState } from '../member.js';
import { hashMember } from './member-hash.js';
import { comparePositions, type ClaimPosition } from './member-update.js';
import type { MembershipOptions } from './membership-options.js';
import type { Suspicion } from './suspicion.js';

/** One member. */
export interface MemberEntry {
  facts: MemberFacts;
  leaving: boolean;
  /** Strongest claim that the member does not answer; facts of a higher position refute it. */
  claim: ClaimPosition | undefined;
  /** Running suspicion. */
  suspicion: Suspicion | undefined;
  /** When the member was found failed; undefined while it has not failed. */
  failedAt: number | undefined;
  /** When this node last sent the member the claim against it. */
  claimSentAt: number;
  /** {@link hashMember}, 0 when the member has failed. */
  hash: number;
  /** Cached view; undefined after a change. */
  view: Member | undefined;
}

interface Tombstone extends ClaimPosition {
  readonly at: number;
}

/** Members by node id, with the address index, tombstones and the cached list of live ones. */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();
  private readonly tombstones = new Map<string, Tombstone>();
  private readonly liveByAddress = new Map<string, string>();
  private readonly suspects = new Set<MemberEntry>();
  private live: MemberEntry[] | undefined;
  /** Counts changes of who has not failed, restarts included. */
  viewChanges = 0;
  /** XOR of the hashes of all members that have not failed. */
  stateHash = 0;

  constructor(private readonly options: MembershipOptions) {}

  find(nodeId: string): MemberEntry | undefined {
    return this.entries.get(nodeId);
  }

  /** The member that listens on an address and has not failed. */
  findLiveByAddress(address: string): MemberEntry | undefined {
    const nodeId = this.liveByAddress.get(address);
    return nodeId === undefined ? undefined : this.entries.get(nodeId);
  }

  /** Every entry, failed ones included. */
  all(): Iterable<MemberEntry> {
    return this.entries.values();
  }

  /** Members that have not failed. */
  listLive(): readonly MemberEntry[] {
    this.live ??= [...this.entries.values()].filter((entry) => entry.failedAt === undefined);
    return this.live;
  }

  /** Members under suspicion. */
  listSuspects(): Iterable<MemberEntry> {
    return this.suspects;
  }

  /** Adds a member or replaces its facts; clears a refuted claim. */
  put(facts: MemberFacts, leaving: boolean): MemberEntry {
    const existing = this.entries.get(facts.nodeId);
    const entry: MemberEntry = existing ?? {
      facts,
      leaving,
      claim: undefined,
      suspicion: undefined,
      failedAt: undefined,
      claimSentAt: -Infinity,
      hash: 0,
      view: undefined,
    };
    const { failedAt } = entry;
    const isNew = existing?.facts.incarnation !== facts.incarnation;
    this.unindexAddress(entry);
    entry.facts = facts;
    entry.leaving = leaving;
    if (entry.claim !== undefined && comparePositions(facts, entry.claim) > 0) {
      entry.claim = undefined;
      entry.suspicion = undefined;
      entry.failedAt = undefined;
    }
    if (isNew || failedAt !== entry.failedAt) this.viewChanges += 1;
    this.tombstones.delete(facts.nodeId);
    this.entries.set(facts.nodeId, entry);
    this.reindex(entry);
    return entry;
  }

  /** Starts a suspicion. */
  suspect(entry: MemberEntry, claim: ClaimPosition, suspicion: Suspicion): void {
    entry.claim = claim;
    entry.suspicion = suspicion;
    this.reindex(entry);
  }

  /** Marks a member as failed. */
  fail(entry: MemberEntry, claim: ClaimPosition, now: number): void {
    this.unindexAddress(entry);
    entry.claim = claim;
    entry.suspicion = undefined;
    entry.failedAt = now;
    this.viewChanges += 1;
    this.reindex(entry);
  }

  /** Raises a member's rules version. */
  setVersion(entry: MemberEntry, configVersion: number): void {
    entry.facts = { ...entry.facts, configVersion };
    entry.view = undefined;
  }

  /** Position up to which claims about an evicted member are ignored. */
  findTombstone(nodeId: string): ClaimPosition | undefined {
    return this.tombstones.get(nodeId);
  }

  /** Records that a node that is not in the table has failed at a position. */
  addTombstone(nodeId: string, { incarnation, sequence }: ClaimPosition, now: number): void {
    this.tombstones.delete(nodeId);
    this.tombstones.set(nodeId, { incarnation, sequence, at: now });
    if (this.tombstones.size > this.options.maxTombstones) {
      const [oldest] = this.tombstones.keys();
      this.tombstones.delete(oldest!);
    }
  }

  /** Evicts members that failed long ago, and old tombstones; returns the evicted members. */
  evictOld(now: number): readonly string[] {
    const evicted: string[] = [];
    for (const [nodeId, { facts, leaving, failedAt, claim }] of this.entries) {
      const retentionMs = leaving ? this.options.evictLeftMs : this.options.evictFailedMs;
      if (failedAt === undefined || now - failedAt < retentionMs) continue;
      this.entries.delete(nodeId);
      this.addTombstone(nodeId, claim ?? facts, now);
      evicted.push(nodeId);
    }
    for (const [nodeId, { at }] of this.tombstones) {
      if (now - at >= this.options.tombstoneMs) this.tombstones.delete(nodeId);
    }
    return evicted;
  }

  private reindex(entry: MemberEntry): void {
    entry.view = undefined;
    this.live = undefined;
    const hash = entry.failedAt === undefined ? hashMember(entry.facts, entry.leaving) : 0;
    this.stateHash = (this.stateHash ^ entry.hash ^ hash) >>> 0;
    entry.hash = hash;
    if (entry.failedAt === undefined) {
      this.liveByAddress.set(entry.facts.peerAddress, entry.facts.nodeId);
    }
    if (entry.suspicion === undefined) this.suspects.delete(entry);
    else this.suspects.add(entry);
  }

  private unindexAddress(entry: MemberEntry): void {
    const { peerAddress, nodeId } = entry.facts;
    if (this.liveByAddress.get(peerAddress) === nodeId) this.liveByAddress.delete(peerAddress);
  }
}

/** State of an entry; a leaving member stays so while it is suspected. */
export function stateOf(entry: MemberEntry): MemberState {
  if (entry.failedAt !== undefined) return 'failed';
  if (entry.leaving) return 'leaving';
  return entry.suspicion === undefined ? 'alive' : 'suspect';
}

/** The member as other parts of the node see it. */
export function viewOf(entry: MemberEntry): Member {
  entry.view ??= { ...entry.facts, state: stateOf(entry) };
  return entry.view;
}

/** The rules by which claims about members change this node's view. */
import type { MemberFacts } from '../member.js';
import type { MemberEntry } from './member-table.js';
import {
  comparePositions,
  type ClaimPosition,
  type FactsUpdate,
  type FailedUpdate,
  type MemberUpdate,
  type NoticeUpdate,
  type SuspectUpdate,
  type VersionUpdate,
} from './member-update.js';
import type { ProtocolState } from './protocol-state.js';
import { Suspicion } from './suspicion.js';

/** Minimum time before a member's facts are requested again, in milliseconds. */
const MIN_FETCH_INTERVAL_MS = 2_000;

/** Maximum number of corrections sent back for the stale claims of one datagram. */
const MAX_CORRECTIONS = 3;

/** Source of updates. */
export interface UpdateSource {
  readonly nodeId: string;
  /**
   * Whether the updates come from a state exchange: a member that the peer considers failed may
   * only have been partitioned.
   */
  readonly isSync: boolean;
  /** Whether this node is just joining: the other members already know what it learns. */
  readonly isJoin?: boolean;
}

/** Applies updates. */
export class UpdateMerger {
  private readonly fetchedAt = new Map<string, number>();

  constructor(
    private readonly state: ProtocolState,
    /** Called for each member that is new or has returned. */
    private readonly onJoined: (now: number, entry: MemberEntry) => void,
  ) {}

  /** Applies updates in order. */
  apply(now: number, updates: readonly MemberUpdate[], source: UpdateSource): void {
    const wanted: string[] = [];
    const corrections: MemberUpdate[] = [];
    for (const update of updates) {
      switch (update.type) {
        case 'facts':
          this.applyFacts(now, update, source);
          break;
        case 'notice':
          if (this.shouldFetch(now, update)) wanted.push(update.nodeId);
          break;
        case 'suspect':
          this.applySuspect(now, update);
          this.collectCorrection(update, source, corrections);
          break;
        case 'failed':
          this.applyFailed(now, update, source);
          this.collectCorrection(update, source, corrections);
          break;
        case 'version':
          this.applyVersion(update);
          break;
      }
    }
    if (wanted.length > 0) {
      this.state.emit({ type: 'fetch', source: source.nodeId, nodeIds: wanted });
    }
    if (corrections.length > 0) this.correct(source.nodeId, corrections);
  }

  /** Corrects a datagram's claim that was refuted since: its sender has missed the refutation. */
  private collectCorrection(
    update: SuspectUpdate | FailedUpdate,
    source: UpdateSource,
    corrections: MemberUpdate[],
  ): void {
    if (source.isSync || corrections.length >= MAX_CORRECTIONS) return;
    const { self, table } = this.state;
    const entry = table.find(update.nodeId);
    if (update.nodeId !== self.nodeId && entry !== undefined && entry.failedAt === undefined) {
      const isStale = comparePositions(update, entry.facts) < 0;
      if (isStale) corrections.push(this.state.describeEntry(entry));
    }
  }

  private correct(nodeId: string, corrections: readonly MemberUpdate[]): void {
    const address = this.state.table.find(nodeId)?.facts.peerAddress;
    if (address !== undefined) this.state.send(address, { type: 'gossip' }, corrections);
  }

  /** Suspects a member that did not answer this node. */
  suspectUnanswered(now: number, entry: MemberEntry): void {
    const { nodeId, incarnation, sequence } = entry.facts;
    const from = this.state.self.nodeId;
    this.applySuspect(now, { type: 'suspect', nodeId, incarnation, sequence, from });
  }

  /** Marks every member whose suspicion has expired as failed. */
  expireSuspicions(now: number): void {
    for (const entry of [...this.state.table.listSuspects()]) {
      if (entry.suspicion !== undefined && now >= entry.suspicion.deadline) {
        this.fail(now, entry, entry.claim ?? entry.facts);
      }
    }
  }

  /** Applies a rules version received from the member itself or about it. */
  applyVersion({ nodeId, incarnation, configVersion }: VersionUpdate): void {
    const entry = this.state.table.find(nodeId);
    if (entry?.facts.incarnation === incarnation) this.state.raiseVersion(nodeId, configVersion);
  }

  private applyFacts(now: number, update: FactsUpdate, source: UpdateSource): void {
    const { facts } = update;
    const { table, self } = this.state;
    if (facts.nodeId === self.nodeId) {
      if (comparePositions(facts, self) > 0) this.refute(facts);
      return;
    }
    const entry = table.find(facts.nodeId);
    if (entry !== undefined && comparePositions(facts, entry.facts) <= 0) {
      this.applyVersion({ type: 'version', ...facts });
      return;
    }
    const tombstone = table.findTombstone(facts.nodeId);
    if (tombstone !== undefined && comparePositions(facts, tombstone) <= 0) return;
    if (!this.claimAddress(now, facts)) return;
    this.accept(now, entry, update);
    if (source.isJoin !== true) {
      this.state.queue.push(this.state.describeEntry(table.find(facts.nodeId)!));
    }
  }

  private accept(
    now: number,
    previous: MemberEntry | undefined,
    { facts, leaving }: FactsUpdate,
  ): void {
    const { state } = this;
    const before = previous?.facts;
    const wasGone = previous === undefined || previous.failedAt !== undefined;
    const wasLeaving = previous?.leaving === true;
    const restarted = before !== undefined && before.incarnation !== facts.incarnation;
    const known = restarted ? 0 : (before?.configVersion ?? 0);
    const configVersion = Math.max(known, facts.configVersion);
    const entry = state.table.put({ ...facts, configVersion }, leaving);
    state.noteVersion(facts.nodeId, facts.incarnation, configVersion);
    state.markChanged();
    if (entry.failedAt !== undefined) return;
    // A restarted node has lost its ends of the links, and may not have closed them.
    if (restarted) state.emit({ type: 'address', nodeId: facts.nodeId, address: undefined });
    if (wasGone || restarted || before?.peerAddress !== facts.peerAddress) {
      state.emit({ type: 'address', nodeId: facts.nodeId, address: facts.peerAddress });
    }
    if (wasGone || restarted) {
      state.emitEvent('joined', facts.nodeId);
      this.onJoined(now, entry);
    }
    if (leaving && !wasLeaving) state.emitEvent('leaving', facts.nodeId);
  }

  /**
   * An address belongs to the process that started last. Returns false when the facts are those of
   * an earlier process; otherwise marks the earlier member as failed.
   */
  private claimAddress(now: number, facts: MemberFacts): boolean {
    const { table, self } = this.state;
    if (facts.peerAddress === self.peerAddress) {
      if (facts.incarnation < self.incarnation) {
        const { nodeId, incarnation, sequence } = facts;
        this.state.queue.push({ type: 'failed', nodeId, incarnation, sequence });
      }
      return false;
    }
    const holder = table.findLiveByAddress(facts.peerAddress);
    if (holder === undefined || holder.facts.nodeId === facts.nodeId) return true;
    if (holder.facts.incarnation >= facts.incarnation) return false;
    this.fail(now, holder, holder.facts);
    return true;
  }

  private applySuspect(now: number, update: SuspectUpdate): void {
    const { state } = this;
    if (update.nodeId === state.self.nodeId) {
      this.refuteClaim(update);
      return;
    }
    const entry = state.table.find(update.nodeId);
    if (entry === undefined || entry.failedAt !== undefined) return;
    if (entry.facts.incarnation !== update.incarnation) return;
    if (update.sequence < entry.facts.sequence) return;
    if (entry.suspicion !== undefined) {
      if (entry.suspicion.confirm(update.from)) state.queue.push(update);
      return;
    }
    const { fleetSize, options } = state;
    const suspicion = new Suspicion(now, update.from, fleetSize, entry.leaving, options);
    state.table.suspect(entry, update, suspicion);
    state.queue.push(update);
    state.markChanged();
    if (!entry.leaving) state.emitEvent('suspected', update.nodeId);
  }

  private applyFailed(now: number, update: FailedUpdate, source: UpdateSource): void {
    const { state } = this;
    if (update.nodeId === state.self.nodeId) {
      this.refuteClaim(update);
      return;
    }
    const entry = state.table.find(update.nodeId);
    if (entry === undefined) {
      const tombstone = state.table.findTombstone(update.nodeId);
      if (tombstone === undefined || comparePositions(update, tombstone) > 0) {
        state.table.addTombstone(update.nodeId, update, now);
      }
      return;
    }
    if (entry.failedAt !== undefined || comparePositions(update, entry.facts) < 0) return;
    if (source.isSync && !entry.leaving) {
      this.applySuspect(now, { ...update, type: 'suspect', from: source.nodeId });
      return;
    }
    this.fail(now, entry, update);
  }

  private fail(now: number, entry: MemberEntry, claim: ClaimPosition): void {
    const { state } = this;
    const { nodeId } = entry.facts;
    const { incarnation, sequence } = claim;
    state.table.fail(entry, { incarnation, sequence }, now);
    state.queue.push({ type: 'failed', nodeId, incarnation, sequence });
    state.emit({ type: 'address', nodeId, address: undefined });
    if (!entry.leaving) state.emitEvent('failed', nodeId);
    state.markChanged();
  }

  private shouldFetch(now: number, { nodeId, incarnation, sequence }: NoticeUpdate): boolean {
    const { table, self } = this.state;
    if (nodeId === self.nodeId) return false;
    const known = table.find(nodeId)?.facts ?? table.findTombstone(nodeId);
    if (known !== undefined && comparePositions({ incarnation, sequence }, known) <= 0)
      return false;
    const lastFetchAt = this.fetchedAt.get(nodeId);
    if (lastFetchAt !== undefined && now - lastFetchAt < MIN_FETCH_INTERVAL_MS) return false;
    this.fetchedAt.set(nodeId, now);
    return true;
  }

  private refuteClaim(claim: ClaimPosition): void {
    const { state } = this;
    if (comparePositions(claim, state.self) < 0) return;
    state.localHealth = Math.min(state.options.maxLocalHealth, state.localHealth + 1);
    this.refute(claim);
    state.emitEvent('refuted', state.self.nodeId);
  }

  /**
   * Raises this node's position above a claim. A claim of a later incarnation comes from an
   * earlier process of the same name whose clock ran ahead; this process takes a higher one.
   */
  private refute(claim: ClaimPosition): void {
    const { state } = this;
    const { self } = state;
    const isForeign = claim.incarnation > self.incarnation;
    const incarnation = isForeign ? claim.incarnation + 1 : self.incarnation;
    const sequence = isForeign ? 0 : Math.max(self.sequence, claim.sequence) + 1;
    state.setSelf({ ...self, incarnation, sequence });
    state.queue.push(state.describeSelf());
  }
}

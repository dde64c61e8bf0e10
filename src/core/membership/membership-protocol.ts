/**
 * SWIM membership with suspicion, refutation and Lifeguard's local health. Inputs are events and
 * `now`, outputs are actions. See docs/design/membership.md.
 */
import type { Member, MemberFacts, MutableFacts } from '../member.js';
import type { Random } from '../random.js';
import {
  answerSync,
  createTransferRequests,
  hashBuckets,
  listFacts,
  listUpdates,
} from './anti-entropy.js';
import { viewOf, type MemberEntry } from './member-table.js';
import type { FactsUpdate, MemberUpdate } from './member-update.js';
import type {
  AckMessage,
  MemberSyncReply,
  MemberSyncRequest,
  MembershipAction,
  MembershipMessage,
  PingMessage,
} from './membership-message.js';
import { DEFAULT_MEMBERSHIP_OPTIONS, type MembershipOptions } from './membership-options.js';
import { ExchangeSchedule } from './exchange-schedule.js';
import { GossipRounds } from './gossip-rounds.js';
import { Rejoin } from './rejoin.js';
import { Prober } from './prober.js';
import { ProtocolState } from './protocol-state.js';
import { UpdateMerger, type UpdateSource } from './update-merger.js';

const EVICTION_INTERVAL_MS = 10_000;
type Actions = readonly MembershipAction[];

/** The membership protocol of one node. */
export class MembershipProtocol {
  private readonly state: ProtocolState;
  private readonly merger: UpdateMerger;
  private readonly prober: Prober;
  private readonly rounds: GossipRounds;
  private readonly exchanges: ExchangeSchedule;
  private readonly rejoin: Rejoin;
  private evictAt = Infinity;

  /**
   * @param self this node's facts at start
   * @param random for probe order, gossip targets and jitter
   */
  constructor(
    self: MemberFacts,
    random: Random,
    private readonly options: MembershipOptions = DEFAULT_MEMBERSHIP_OPTIONS,
  ) {
    this.state = new ProtocolState(self, options, random);
    this.merger = new UpdateMerger(this.state, (now, entry) => {
      this.onJoined(now, entry);
    });
    this.prober = new Prober(this.state, (now, entry) => {
      this.merger.suspectUnanswered(now, entry);
    });
    this.rounds = new GossipRounds(this.state);
    this.exchanges = new ExchangeSchedule(this.state);
    this.rejoin = new Rejoin(this.state, () => this.prober.nextNumber());
  }

  /** This node as a member. */
  self(): Member {
    return { ...this.state.self, state: this.state.leaving ? 'leaving' : 'alive' };
  }

  /** All members that have not failed, this node included, sorted by node id. */
  members(): readonly Member[] {
    const members = this.state.table.listLive().map(viewOf);
    members.push(this.self());
    return members.sort((a, b) => (a.nodeId < b.nodeId ? -1 : 1));
  }

  /** One member, including one that has failed but is not evicted yet. */
  find(nodeId: string): Member | undefined {
    if (nodeId === this.state.self.nodeId) return this.self();
    const entry = this.state.table.find(nodeId);
    return entry === undefined ? undefined : viewOf(entry);
  }

  /** Whether this node's announcement of its stop has been sent often enough. */
  get isLeaveSpread(): boolean {
    return this.state.leaving && !this.state.queue.has(this.state.self.nodeId);
  }

  /** Starts the protocol. */
  start(now: number): Actions {
    this.prober.start(now);
    this.exchanges.plan(now);
    this.rejoin.start(now);
    this.evictAt = now + EVICTION_INTERVAL_MS;
    return this.finish(now);
  }

  /** Adds addresses through which to join. */
  addSeeds(now: number, addresses: readonly string[]): Actions {
    this.rejoin.addSeeds(now, addresses);
    return this.finish(now);
  }

  /** Changes this node's own facts. */
  update(now: number, { configVersion, ...facts }: MutableFacts): Actions {
    const { state } = this;
    const { self } = state;
    if (configVersion !== undefined && configVersion > self.configVersion) {
      const { nodeId, incarnation } = self;
      state.setSelf({ ...self, configVersion });
      state.noteVersion(nodeId, incarnation, configVersion);
    }
    if (hasChange(self, facts)) this.announce(facts);
    return this.finish(now);
  }

  /** Announces this node's planned stop. */
  leave(now: number): Actions {
    if (!this.state.leaving) {
      this.state.leaving = true;
      this.announce({ ready: false });
    }
    return this.finish(now);
  }

  /** Time of the next needed {@link onTimer}. */
  nextTimer(): number {
    const { prober, rounds, exchanges, rejoin } = this;
    const parts = [prober, rounds, exchanges, rejoin].map((part) => part.nextTimer());
    let next = Math.min(this.evictAt, ...parts);
    for (const { suspicion } of this.state.table.listSuspects()) {
      if (suspicion !== undefined) next = Math.min(next, suspicion.deadline);
    }
    return next;
  }

  /** Called when the time of {@link nextTimer} is reached. */
  onTimer(now: number): Actions {
    const lateMs = now - this.nextTimer();
    if (lateMs > this.options.pauseThresholdMs) this.recoverFromPause(now, lateMs);
    this.merger.expireSuspicions(now);
    this.prober.onTimer(now);
    this.rounds.onTimer(now);
    this.exchanges.onTimer(now);
    this.rejoin.onTimer(now);
    if (now >= this.evictAt) this.evictOld(now);
    return this.finish(now);
  }

  /** Handles a datagram received from an address. */
  onMessage(now: number, address: string, message: MembershipMessage): Actions {
    const { from: nodeId, incarnation, configVersion } = message;
    if (nodeId === this.state.self.nodeId) return [];
    this.merger.apply(now, message.updates, { nodeId, isSync: false });
    this.merger.applyVersion({ type: 'version', nodeId, incarnation, configVersion });
    if (message.versions !== undefined) this.state.applyVersions(message.versions);
    switch (message.type) {
      case 'ping':
        this.onPing(address, message);
        break;
      case 'ack':
        this.onAck(address, message);
        break;
      case 'ping-request':
        this.prober.onPingRequest(now, address, message);
        break;
      case 'nack':
        this.prober.onNack(message);
        break;
      case 'gossip':
        break;
    }
    if (message.type !== 'ping') this.sendClaim(now, address, message);
    this.exchanges.compareViews(now, message);
    return this.finish(now);
  }

  /** The first request of a state exchange. */
  createSyncRequest(): MemberSyncRequest {
    return { hashes: hashBuckets(this.state), after: '', updates: [] };
  }

  /** Handles a peer's request for a state exchange. */
  onSyncRequest(
    now: number,
    nodeId: string,
    request: MemberSyncRequest,
  ): { reply: MemberSyncReply; actions: Actions } {
    const reply = answerSync(this.state, request);
    const source = { nodeId, isSync: true };
    return { reply, actions: this.applyUpdates(now, source, request.updates) };
  }

  /** Requests that transfer this node's claims about the members of buckets that differ. */
  createTransferRequests(buckets: readonly number[]): readonly MemberSyncRequest[] {
    return createTransferRequests(listUpdates(this.state, buckets));
  }

  /** Handles the peer's page of a state exchange, or facts that were fetched. */
  onSyncReply(now: number, nodeId: string, updates: readonly MemberUpdate[]): Actions {
    const isJoin = !this.exchanges.hasJoined;
    this.exchanges.hasJoined = true;
    return this.applyUpdates(now, { nodeId, isSync: true, isJoin }, updates);
  }

  /** Facts of some members, for a peer that requests them. */
  listFacts(nodeIds: readonly string[]): readonly FactsUpdate[] {
    return listFacts(this.state, nodeIds);
  }

  private applyUpdates(
    now: number,
    source: UpdateSource,
    updates: readonly MemberUpdate[],
  ): Actions {
    this.merger.apply(now, updates, source);
    return this.finish(now);
  }

  private onPing(address: string, message: PingMessage): void {
    const { state } = this;
    const { nodeId } = state.self;
    if (message.to !== '' && message.to !== nodeId) {
      // The address belonged to another node: send this node's facts.
      state.send(address, { type: 'gossip' }, [state.describeSelf()]);
      return;
    }
    const first: MemberUpdate[] = message.to === '' ? [state.describeSelf()] : [];
    const claim = state.describeClaim(message.from, message.incarnation);
    if (claim !== undefined) first.push(claim);
    const known = state.table.find(message.from)?.facts.incarnation;
    const factsWanted = known === undefined || known < message.incarnation;
    const { probe } = message;
    state.send(address, { type: 'ack', probe, subject: nodeId, factsWanted }, first);
  }

  private onAck(address: string, message: AckMessage): void {
    this.prober.onAck(message);
    if (message.factsWanted) {
      this.state.send(address, { type: 'gossip' }, [this.state.describeSelf()]);
    }
  }

  /** Replies to a member's message with the claim against the member, so that it can refute it. */
  private sendClaim(now: number, address: string, message: MembershipMessage): void {
    const { state } = this;
    const entry = state.table.find(message.from);
    const claim = state.describeClaim(message.from, message.incarnation);
    if (entry === undefined || claim === undefined) return;
    if (now - entry.claimSentAt < this.options.probeIntervalMs) return;
    entry.claimSentAt = now;
    state.send(address, { type: 'gossip' }, [claim]);
  }

  private onJoined(now: number, { facts }: MemberEntry): void {
    this.prober.add(facts.nodeId);
    this.exchanges.onJoined(now, facts.nodeId);
  }

  /** Gossips new facts of this node. */
  private announce(facts: MutableFacts): void {
    const { state } = this;
    state.setSelf({ ...state.self, ...facts, sequence: state.self.sequence + 1 });
    state.queue.push(state.describeSelf());
  }

  private evictOld(now: number): void {
    this.evictAt = now + EVICTION_INTERVAL_MS;
    for (const nodeId of this.state.table.evictOld(now)) this.state.queue.remove(nodeId);
  }

  private recoverFromPause(now: number, lateMs: number): void {
    this.prober.skipProbe(now);
    for (const { suspicion } of this.state.table.listSuspects()) suspicion?.postpone(lateMs);
  }

  private finish(now: number): Actions {
    this.exchanges.observeView(now);
    this.rounds.plan(now);
    return this.state.takeActions();
  }
}

function hasChange(self: MemberFacts, facts: MutableFacts): boolean {
  return Object.entries(facts).some(
    ([key, value]) => JSON.stringify(self[key as keyof MemberFacts]) !== JSON.stringify(value),
  );
}

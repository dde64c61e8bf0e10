/**
 * Keeps the placement of the replica group: learns the newest record from peers and the platform,
 * brings this node's replica up, and changes the epoch when members should change.
 */
import type { PlacementRecord } from '../core/claim/placement.js';
import {
  canAgree,
  chooseMembers,
  shouldChange,
  type Candidate,
} from '../core/claim/placement-policy.js';
import type { Random } from '../core/random.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import type { Member, Membership } from '../membership/membership.js';
import type { PlatformClient } from '../platform/platform-client.js';
import type { ClaimTiming } from './claim-timing.js';
import { EpochChanger } from './epoch-changer.js';
import { GroupRestarter } from './group-restarter.js';
import type { PlacementStore } from './placement-store.js';
import type { ReplicaClient } from './replica-client.js';
import type { ReplicaTask } from './replica-task.js';
import { pause } from './requester.js';

/** What the keeper needs. */
export interface PlacementKeeperOptions {
  readonly clock: Clock;
  readonly timing: ClaimTiming;
  readonly random: Random;
  readonly membership: Membership;
  readonly platform: PlatformClient;
  readonly replica: ReplicaTask;
  readonly client: ReplicaClient;
  readonly store: PlacementStore;
}

/** Interval of forgetting expired entries, in milliseconds. */
const EXPIRE_INTERVAL_MS = 5_000;

/** Peers asked for their record at each gossip step while none is known. */
const FIRST_GOSSIP_PEERS = 3;

/** The placement keeper of one node. */
export class PlacementKeeper {
  private readonly changer: EpochChanger;
  private readonly restarter: GroupRestarter;
  private cancelTick: CancelTimer | undefined;
  private stopped = false;
  private leaving = false;
  private readonly startedAt: number;
  private nextGossipAt = 0;
  private nextPlatformAt = 0;
  private nextExpireAt = 0;
  private nextLossCheckAt = 0;
  private changeWantedSince: number | undefined;
  private unannouncedSince: number | undefined;
  private sealedSince: number | undefined;

  constructor(private readonly options: PlacementKeeperOptions) {
    this.startedAt = options.clock.now();
    this.changer = new EpochChanger(options);
    this.restarter = new GroupRestarter({ ...options, changer: this.changer });
  }

  /** Newest established record that this node knows. */
  get record(): PlacementRecord | undefined {
    return this.options.replica.view.newestRecord;
  }

  /** Takes in a record that somebody told about. */
  observe(record: PlacementRecord): void {
    this.options.replica.post({ type: 'observe', record });
  }

  /** Starts the periodic work. */
  start(): void {
    void this.runTick();
  }

  /** Stops the periodic work. */
  stop(): void {
    this.stopped = true;
    this.cancelTick?.();
  }

  /** Planned stop: moves this node's place in the group to others, within the drain limit. */
  async handOver(): Promise<void> {
    const { clock, timing, replica } = this.options;
    this.leaving = true;
    replica.post({ type: 'withdraw' });
    const end = clock.now() + timing.drainMs;
    await new Promise<void>((resolve) => {
      const cancelLimit = clock.schedule(timing.drainMs, resolve);
      void this.leaveGroup(end).then(() => {
        cancelLimit();
        resolve();
      });
    });
  }

  private async leaveGroup(end: number): Promise<void> {
    const { clock, replica } = this.options;
    while (replica.view.isMember && !this.stopped && clock.now() < end) {
      const chosen = chooseMembers(replica.view.record, this.candidates());
      if (chosen.length === 0) return;
      await this.changer.change(chosen, end);
      if (replica.view.isMember) await pause(clock, 10 + this.options.random.next() * 40);
    }
  }

  private async runTick(): Promise<void> {
    if (this.stopped) return;
    await this.tick(this.options.clock.now());
    if (this.stopped) return;
    this.cancelTick = this.options.clock.schedule(this.options.timing.tickMs, () => {
      void this.runTick();
    });
  }

  private async tick(now: number): Promise<void> {
    const { timing } = this.options;
    if (now >= this.nextExpireAt) {
      this.nextExpireAt = now + EXPIRE_INTERVAL_MS;
      this.options.replica.post({ type: 'expire' });
    }
    if (now >= this.nextGossipAt) {
      this.nextGossipAt = now + timing.gossipMs;
      await this.gossip();
    }
    await this.readOthers();
    if (now >= this.nextPlatformAt) {
      const intervalMs = this.record === undefined ? timing.gossipMs : timing.platformMs;
      this.nextPlatformAt = now + intervalMs * (0.75 + this.options.random.next() / 2);
      await this.meetPlatform(now);
    }
    await this.considerCompletion(now);
    if (!this.leaving) await this.considerChange(now);
    if (now >= this.nextLossCheckAt) {
      this.nextLossCheckAt = now + timing.platformMs;
      await this.considerRestart();
    }
  }

  /** A member whose epoch has not been announced in time completes the change itself. */
  private async considerCompletion(now: number): Promise<void> {
    const { replica, timing } = this.options;
    const { record, newestRecord } = replica.view;
    const isUnannounced = (record?.epoch ?? 0) > (newestRecord?.epoch ?? 0);
    this.unannouncedSince = isUnannounced ? (this.unannouncedSince ?? now) : undefined;
    if (this.unannouncedSince === undefined) return;
    if (now - this.unannouncedSince >= timing.takeOverMs) await this.changer.complete();
  }

  /** The first node of the fleet looks whether the group has lost its memory for good. */
  private async considerRestart(): Promise<void> {
    const record = this.record;
    if (record === undefined || !this.isFirstNode()) return;
    const next = await this.restarter.check(record, chooseMembers(undefined, this.candidates()));
    if (next !== undefined) this.observe(next);
  }

  private isFirstNode(): boolean {
    const ids = this.candidates().map((candidate) => candidate.nodeId);
    return ids.sort()[0] === this.options.membership.self().nodeId;
  }

  /** Asks a random node (several while nothing is known) for its newest record. */
  private async gossip(): Promise<void> {
    const { membership, client, timing, random } = this.options;
    const self = membership.self().nodeId;
    const others = membership.members().filter((member) => member.nodeId !== self);
    const wanted = this.record === undefined ? FIRST_GOSSIP_PEERS : 1;
    const asks: Promise<void>[] = [];
    for (let asked = 0; asked < Math.min(wanted, others.length); asked += 1) {
      const peer = others[random.nextInt(others.length)]!;
      asks.push(this.askForRecord(client, peer, timing.changeTimeoutMs));
    }
    await Promise.all(asks);
  }

  private async askForRecord(
    client: ReplicaClient,
    peer: Member,
    timeoutMs: number,
  ): Promise<void> {
    const reply = await client.ask(peer.nodeId, { type: 'status' }, timeoutMs);
    if (reply?.type === 'status' && reply.record !== undefined) this.observe(reply.record);
  }

  /** A recovering or pending replica reads the tables of the other members. */
  private async readOthers(): Promise<void> {
    const { replica, client, timing } = this.options;
    const { members, request } = replica.pendingReads();
    const reads = members.map(async (nodeId) => {
      const reply = await client.ask(nodeId, request, timing.changeTimeoutMs);
      if (reply !== undefined) replica.post({ type: 'recovered', reply });
    });
    await Promise.all(reads);
  }

  /** Reads the platform's record; creates the first one or brings the platform up to date. */
  private async meetPlatform(now: number): Promise<void> {
    const { store, replica, timing } = this.options;
    if (this.record !== undefined && !replica.view.isMember) return;
    const stored = await store.read();
    if (stored === undefined) return;
    if (stored.record !== undefined) this.observe(stored.record);
    const record = this.record;
    if (record !== undefined) {
      if ((stored.record?.epoch ?? 0) < record.epoch) await store.write(record, stored.modRevision);
      return;
    }
    const waited = now - this.startedAt >= timing.bootstrapWaitMs;
    if (waited || this.countZones() >= 3) await this.createFirstRecord();
  }

  private countZones(): number {
    return new Set(this.candidates().map((candidate) => candidate.zone)).size;
  }

  /** The platform's compare-and-swap decides which node's first record counts. */
  private async createFirstRecord(): Promise<void> {
    const { store } = this.options;
    const chosen = chooseMembers(undefined, this.candidates());
    if (!this.isFirstNode()) return;
    const members = await this.changer.findMembers(undefined, chosen);
    if (members.length < chosen.length) return;
    const record: PlacementRecord = { epoch: 1, members, fresh: true, floorMs: 0 };
    if (await store.write(record, 0)) await this.changer.establish([record]);
  }

  /** Members change the epoch: the first one that answers at once, the others when it does not. */
  private async considerChange(now: number): Promise<void> {
    const { replica, timing, membership } = this.options;
    const { record, status } = replica.view;
    this.sealedSince = status === 'sealed' ? (this.sealedSince ?? now) : undefined;
    if (record === undefined || (status !== 'voting' && status !== 'sealed')) return;
    const candidates = this.candidates();
    const chosen = chooseMembers(record, candidates);
    const stuck = this.sealedSince !== undefined && canAgree(record, candidates);
    const wanted = stuck || shouldChange(record, chosen, candidates);
    this.changeWantedSince = wanted ? (this.changeWantedSince ?? now) : undefined;
    if (this.changeWantedSince === undefined) return;
    const responding = record.members
      .map((member) => member.nodeId)
      .filter((nodeId) => candidates.some((other) => other.nodeId === nodeId && other.responds));
    const rank = Math.max(0, responding.indexOf(membership.self().nodeId));
    const delayMs = timing.changeDelayMs + rank * timing.takeOverMs;
    if (now - this.changeWantedSince < delayMs) return;
    this.changeWantedSince = undefined;
    await this.changer.change(chosen, now + timing.takeOverMs);
  }

  /** Nodes as membership sees them; this node does not stay while it leaves. */
  private candidates(): readonly Candidate[] {
    const { membership } = this.options;
    const self = membership.self().nodeId;
    return membership.members().map((member) => ({
      nodeId: member.nodeId,
      zone: member.zone,
      stays: member.nodeId === self ? !this.leaving : member.state !== 'leaving',
      responds: member.state !== 'suspect' || member.nodeId === self,
    }));
  }
}

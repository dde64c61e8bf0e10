/**
 * Periodic work for all replica groups at one node. Its cost does not grow with the fleet: one
 * question a second to a random node, and work for the groups in which this node takes part.
 * The first node of the fleet also creates what is missing and looks for lost groups.
 */
import { defaultGroupCount } from '../core/claim/claim-groups.js';
import type { Candidate } from '../core/claim/placement-policy.js';
import type { Random } from '../core/random.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import type { Member, Membership } from '../membership/membership.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import type { PlatformClient } from '../etcd/platform-client.js';
import type { ClaimTiming } from './claim-timing.js';
import type { GroupDirectory, LocalGroup } from './group-directory.js';
import { PlacementKeeper } from './placement-keeper.js';
import {
  createLayout,
  PlacementStore,
  readStoredClaims,
  type StoredClaims,
} from './placement-store.js';

/** What the keeper needs. */
export interface GroupsKeeperOptions {
  readonly clock: Clock;
  readonly timing: ClaimTiming;
  readonly random: Random;
  readonly membership: Membership;
  readonly network: PeerNetwork;
  readonly platform: PlatformClient;
  readonly directory: GroupDirectory;
  /** Number of groups to begin with when this node starts the fleet; by its size when absent. */
  readonly wantedGroups?: number | undefined;
}

/** Peers asked at each gossip step while something is unknown. */
const FIRST_GOSSIP_PEERS = 3;

/** Time for which the list of machines is used again, in milliseconds. */
const MACHINES_KEPT_MS = 2_000;

/** Zones of which nodes are awaited before the first placement. */
const AWAITED_ZONES = 3;

/** The keeper of one node. */
export class GroupsKeeper {
  private readonly keepers = new Map<number, PlacementKeeper>();
  private readonly startedAt: number;
  private cancelTick: CancelTimer | undefined;
  private stopped = false;
  private leaving = false;
  private nextGossipAt = 0;
  private nextPlatformAt = 0;
  private nextLossCheckAt = 0;
  private machines:
    { readonly at: number; readonly list: ReturnType<PlatformClient['machines']> } | undefined;

  constructor(private readonly options: GroupsKeeperOptions) {
    this.startedAt = options.clock.now();
  }

  /** Starts the periodic work. */
  start(): void {
    void this.runTick();
  }

  /** Stops the periodic work. */
  stop(): void {
    this.stopped = true;
    this.cancelTick?.();
    for (const keeper of this.keepers.values()) keeper.stop();
  }

  /** Planned stop: moves this node's places in all groups to others, within the drain limit. */
  async handOver(): Promise<void> {
    this.leaving = true;
    this.options.directory.withdraw();
    await Promise.all(this.activeKeepers().map((keeper) => keeper.handOver()));
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
    const { timing, directory } = this.options;
    if (now >= this.nextGossipAt) {
      this.nextGossipAt = now + (directory.isComplete ? timing.gossipMs : timing.tickMs);
      await this.gossip();
    }
    if (!directory.isComplete && now >= this.nextPlatformAt) {
      this.nextPlatformAt = now + timing.gossipMs * (0.75 + this.options.random.next() / 2);
      await this.begin(now);
    }
    for (const keeper of this.activeKeepers()) void keeper.step(now);
    if (directory.count !== undefined && now >= this.nextLossCheckAt) {
      this.nextLossCheckAt = now + timing.platformMs;
      if (this.isFirstNode()) void this.checkLosses(directory.count);
    }
  }

  /** Asks a random node (several while something is unknown) for what is newer there. */
  private async gossip(): Promise<void> {
    const { membership, random, directory } = this.options;
    const self = membership.self().nodeId;
    const others = membership.members().filter((member) => member.nodeId !== self);
    const wanted = directory.isComplete ? 1 : FIRST_GOSSIP_PEERS;
    const asks: Promise<void>[] = [];
    for (let asked = 0; asked < Math.min(wanted, others.length); asked += 1) {
      asks.push(this.askForRecords(others[random.nextInt(others.length)]!));
    }
    await Promise.all(asks);
  }

  private async askForRecords({ nodeId }: Member): Promise<void> {
    const { network, directory, timing } = this.options;
    const limit = { timeoutMs: timing.changeTimeoutMs };
    const reply = await network.call(nodeId, 'claimRecords', directory.describe(), limit);
    if (reply.isOk) directory.take(reply.value);
  }

  /** Reads the platform's records; the first node creates those that do not exist yet. */
  private async begin(now: number): Promise<void> {
    const { platform, directory } = this.options;
    const stored = await readStoredClaims(platform);
    if (stored === undefined) return;
    this.takeStored(stored);
    if (!this.mayCreate(now)) return;
    if (directory.count === undefined) {
      const wish = this.options.wantedGroups ?? defaultGroupCount(this.candidates().length);
      await createLayout(platform, wish);
      const written = await readStoredClaims(platform);
      if (written !== undefined) this.takeStored(written);
    }
    const missing = directory.missing.filter((group) => !stored.records.has(group));
    const creations = missing.map((group) => this.keeperOf(directory.open(group)));
    await Promise.all(creations.map((keeper) => keeper.createFirstRecord()));
  }

  private takeStored({ groups, records }: StoredClaims): void {
    const { directory } = this.options;
    if (groups !== undefined) directory.setCount(groups);
    for (const [group, record] of records) directory.open(group).observe(record);
  }

  /** Whether this node is to create what is missing, now. */
  private mayCreate(now: number): boolean {
    if (this.leaving || !this.isFirstNode()) return false;
    if (now - this.startedAt >= this.options.timing.bootstrapWaitMs) return true;
    return new Set(this.candidates().map(({ member }) => member.zone)).size >= AWAITED_ZONES;
  }

  private async checkLosses(groups: number): Promise<void> {
    const { directory } = this.options;
    const checks = Array.from({ length: groups }, (_, index) =>
      this.keeperOf(directory.open(index)).considerRestart(),
    );
    await Promise.all(checks);
  }

  private activeKeepers(): readonly PlacementKeeper[] {
    const active = this.options.directory.opened.filter((group) => group.isActive);
    return active.map((group) => this.keeperOf(group));
  }

  private keeperOf({ index, replica, client }: LocalGroup): PlacementKeeper {
    const known = this.keepers.get(index);
    if (known !== undefined) return known;
    const { clock, timing, random, membership, platform } = this.options;
    const keeper = new PlacementKeeper({
      ...{ clock, timing, random, membership, replica, client, group: index },
      store: new PlacementStore(platform, index),
      listMachines: () => this.listMachines(),
      candidates: () => this.candidates(),
    });
    this.keepers.set(index, keeper);
    return keeper;
  }

  /** The list of machines, read once for all groups that are looked at together. */
  private listMachines(): ReturnType<PlatformClient['machines']> {
    const now = this.options.clock.now();
    if (this.machines === undefined || now - this.machines.at >= MACHINES_KEPT_MS) {
      this.machines = { at: now, list: this.options.platform.machines() };
    }
    return this.machines.list;
  }

  private isFirstNode(): boolean {
    const { membership } = this.options;
    const self = membership.self().nodeId;
    return membership.members().every(({ nodeId }) => self <= nodeId);
  }

  /** Nodes as membership sees them; this node does not stay while it leaves. */
  private candidates(): readonly Candidate[] {
    const { membership } = this.options;
    const self = membership.self().nodeId;
    return membership.members().map((member) => ({
      member,
      stays: member.nodeId === self ? !this.leaving : member.state !== 'leaving',
      responds: member.state !== 'suspect' || member.nodeId === self,
    }));
  }
}

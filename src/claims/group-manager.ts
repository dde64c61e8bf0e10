/**
 * Periodic work for all replica groups at one node. Its cost does not grow with the fleet: one
 * query a second to a random node, and work for the groups in which this node participates.
 * The first node of the fleet also creates missing records and checks for lost groups.
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
import { PlacementManager } from './placement-manager.js';
import {
  createLayout,
  PlacementStore,
  readStoredClaims,
  type StoredClaims,
} from './placement-store.js';

/** Dependencies of a {@link GroupManager}. */
export interface GroupManagerOptions {
  readonly clock: Clock;
  readonly timing: ClaimTiming;
  readonly random: Random;
  readonly membership: Membership;
  readonly network: PeerNetwork;
  readonly platform: PlatformClient;
  readonly directory: GroupDirectory;
  /** Number of groups when this node creates the layout; by the fleet's size when absent. */
  readonly wantedGroups?: number | undefined;
}

/** Peers queried at each gossip step while the layout or a record is unknown. */
const INITIAL_GOSSIP_PEERS = 3;

/** Time for which the list of machines is reused, in milliseconds. */
const MACHINE_LIST_MAX_AGE_MS = 2_000;

/** The first placement waits no longer once nodes of this many zones are known. */
const BOOTSTRAP_ZONES = 3;

/** Manages the replica groups at one node. */
export class GroupManager {
  private readonly placementManagers = new Map<number, PlacementManager>();
  private readonly startedAt: number;
  private cancelTick: CancelTimer | undefined;
  private stopped = false;
  private leaving = false;
  private nextGossipAt = 0;
  private nextPlatformReadAt = 0;
  private nextLossCheckAt = 0;
  private machines:
    { readonly at: number; readonly list: ReturnType<PlatformClient['machines']> } | undefined;

  constructor(private readonly options: GroupManagerOptions) {
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
    for (const manager of this.placementManagers.values()) manager.stop();
  }

  /** Planned stop: moves this node's places in all groups to other nodes, within the drain time. */
  async transferPlaces(): Promise<void> {
    this.leaving = true;
    this.options.directory.withdraw();
    await Promise.all(this.activeManagers().map((manager) => manager.transferPlace()));
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
    if (!directory.isComplete && now >= this.nextPlatformReadAt) {
      this.nextPlatformReadAt = now + timing.gossipMs * (0.75 + this.options.random.next() / 2);
      await this.bootstrap(now);
    }
    for (const manager of this.activeManagers()) void manager.step(now);
    if (directory.count !== undefined && now >= this.nextLossCheckAt) {
      this.nextLossCheckAt = now + timing.platformMs;
      if (this.isFirstNode()) void this.checkLosses(directory.count);
    }
  }

  /** Requests newer records from a random node, or several while something is unknown. */
  private async gossip(): Promise<void> {
    const { membership, random, directory } = this.options;
    const self = membership.self().nodeId;
    const others = membership.members().filter((member) => member.nodeId !== self);
    const wanted = directory.isComplete ? 1 : INITIAL_GOSSIP_PEERS;
    const requests: Promise<void>[] = [];
    for (let sent = 0; sent < Math.min(wanted, others.length); sent += 1) {
      requests.push(this.requestRecords(others[random.nextInt(others.length)]!));
    }
    await Promise.all(requests);
  }

  private async requestRecords({ nodeId }: Member): Promise<void> {
    const { network, directory, timing } = this.options;
    const limit = { timeoutMs: timing.changeTimeoutMs };
    const reply = await network.call(
      nodeId,
      'claimRecords',
      directory.createRecordsRequest(),
      limit,
    );
    if (reply.isOk) directory.applyRecords(reply.value);
  }

  /** Reads the platform's records; the first node creates those that do not exist yet. */
  private async bootstrap(now: number): Promise<void> {
    const { platform, directory } = this.options;
    const stored = await readStoredClaims(platform);
    if (stored === undefined) return;
    this.applyStored(stored);
    if (!this.shouldCreateRecords(now)) return;
    if (directory.count === undefined) {
      const count = this.options.wantedGroups ?? defaultGroupCount(this.candidates().length);
      await createLayout(platform, count);
      const written = await readStoredClaims(platform);
      if (written !== undefined) this.applyStored(written);
    }
    const missing = directory.missing.filter((group) => !stored.records.has(group));
    const creations = missing.map((group) => this.managerOf(directory.open(group)));
    await Promise.all(creations.map((manager) => manager.createFirstRecord()));
  }

  private applyStored({ groups, records }: StoredClaims): void {
    const { directory } = this.options;
    if (groups !== undefined) directory.setCount(groups);
    for (const [group, record] of records) directory.open(group).observe(record);
  }

  /** Whether this node should create missing records now. */
  private shouldCreateRecords(now: number): boolean {
    if (this.leaving || !this.isFirstNode()) return false;
    if (now - this.startedAt >= this.options.timing.bootstrapWaitMs) return true;
    return new Set(this.candidates().map(({ member }) => member.zone)).size >= BOOTSTRAP_ZONES;
  }

  private async checkLosses(groups: number): Promise<void> {
    const { directory } = this.options;
    const checks = Array.from({ length: groups }, (_, index) =>
      this.managerOf(directory.open(index)).restartIfLost(),
    );
    await Promise.all(checks);
  }

  private activeManagers(): readonly PlacementManager[] {
    const active = this.options.directory.opened.filter((group) => group.isActive);
    return active.map((group) => this.managerOf(group));
  }

  private managerOf({ index, replica, client }: LocalGroup): PlacementManager {
    const known = this.placementManagers.get(index);
    if (known !== undefined) return known;
    const { clock, timing, random, membership, platform } = this.options;
    const manager = new PlacementManager({
      ...{ clock, timing, random, membership, replica, client, group: index },
      store: new PlacementStore(platform, index),
      listMachines: () => this.listMachines(),
      candidates: () => this.candidates(),
    });
    this.placementManagers.set(index, manager);
    return manager;
  }

  /** The list of machines, read once for all groups that are checked together. */
  private listMachines(): ReturnType<PlatformClient['machines']> {
    const now = this.options.clock.now();
    if (this.machines === undefined || now - this.machines.at >= MACHINE_LIST_MAX_AGE_MS) {
      this.machines = { at: now, list: this.options.platform.machines() };
    }
    return this.machines.list;
  }

  private isFirstNode(): boolean {
    const { membership } = this.options;
    const self = membership.self().nodeId;
    return membership.members().every(({ nodeId }) => self <= nodeId);
  }

  /** Nodes as membership sees them; this node counts as leaving once its planned stop begins. */
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

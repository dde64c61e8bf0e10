/**
 * Manages the placement of one replica group at a member: brings up this node's replica, changes
 * the epoch when members should change, and keeps the platform's record up to date.
 */
import { groupName } from '../core/claim/claim-groups.js';
import type { PlacementRecord } from '../core/claim/placement.js';
import {
  canAgree,
  chooseMembers,
  respondingMembers,
  shouldChange,
  type Candidate,
} from '../core/claim/placement-policy.js';
import type { Random } from '../core/random.js';
import type { Clock } from '../kernel/clock.js';
import type { Membership } from '../membership/membership.js';
import type { PlatformClient } from '../etcd/platform-client.js';
import type { ClaimTiming } from './claim-timing.js';
import { EpochChanger } from './epoch-changer.js';
import { GroupRestarter } from './group-restarter.js';
import type { PlacementStore } from './placement-store.js';
import type { ReplicaClient } from './replica-client.js';
import type { ReplicaTask } from './replica-task.js';
import { pause } from '../kernel/pause.js';

/** Dependencies of a {@link PlacementManager}. */
export interface PlacementManagerOptions {
  readonly clock: Clock;
  readonly timing: ClaimTiming;
  readonly random: Random;
  readonly group: number;
  readonly membership: Membership;
  /** The platform's list of machines. */
  readonly listMachines: PlatformClient['machines'];
  /** Nodes as membership sees them. */
  readonly candidates: () => readonly Candidate[];
  readonly replica: ReplicaTask;
  readonly client: ReplicaClient;
  readonly store: PlacementStore;
}

/** Interval of discarding expired entries, in milliseconds. */
const EXPIRE_INTERVAL_MS = 5_000;

/** Manages the placement of one group at one node. */
export class PlacementManager {
  private readonly changer: EpochChanger;
  private readonly restarter: GroupRestarter;
  private readonly name: string;
  private stopped = false;
  private busy = false;
  private leaving = false;
  private nextPlatformSyncAt = 0;
  private nextExpireAt = 0;
  private changeWantedSince: number | undefined;
  private unannouncedSince: number | undefined;
  private sealedSince: number | undefined;

  constructor(private readonly options: PlacementManagerOptions) {
    this.name = groupName(options.group);
    this.changer = new EpochChanger(options);
    this.restarter = new GroupRestarter({ ...options, changer: this.changer });
  }

  /** Newest established record that this node knows. */
  get record(): PlacementRecord | undefined {
    return this.options.replica.view.newestRecord;
  }

  /** Passes a reported placement record to the replica. */
  observe(record: PlacementRecord): void {
    this.options.replica.post({ type: 'observe', record });
  }

  /** Stops all work. */
  stop(): void {
    this.stopped = true;
  }

  /** Planned stop: moves this node's place in the group to another node, within the drain time. */
  async transferPlace(): Promise<void> {
    const { clock, timing, replica } = this.options;
    this.leaving = true;
    replica.post({ type: 'withdraw' });
    const deadline = clock.now() + timing.drainMs;
    await new Promise<void>((resolve) => {
      const cancelTimeout = clock.schedule(timing.drainMs, resolve);
      void this.leaveGroup(deadline).then(() => {
        cancelTimeout();
        resolve();
      });
    });
  }

  private async leaveGroup(deadline: number): Promise<void> {
    const { clock, replica } = this.options;
    while (replica.view.isMember && !this.stopped && clock.now() < deadline) {
      const chosen = chooseMembers(replica.view.record, this.options.candidates(), this.name);
      if (chosen.length === 0) return;
      await this.changer.change(chosen, deadline);
      if (replica.view.isMember) await pause(clock, 10 + this.options.random.next() * 40);
    }
  }

  /** Runs one step of the work for this group, unless the previous step is still running. */
  async step(now: number): Promise<void> {
    if (this.busy || this.stopped) return;
    this.busy = true;
    try {
      await this.work(now);
    } finally {
      this.busy = false;
    }
  }

  private async work(now: number): Promise<void> {
    const { timing } = this.options;
    if (now >= this.nextExpireAt) {
      this.nextExpireAt = now + EXPIRE_INTERVAL_MS;
      this.options.replica.post({ type: 'expire' });
    }
    await this.readOtherTables();
    if (now >= this.nextPlatformSyncAt) {
      this.nextPlatformSyncAt = now + timing.platformMs * (0.75 + this.options.random.next() / 2);
      await this.syncWithPlatform();
    }
    await this.completeOverdueChange(now);
    if (!this.leaving) await this.changeMembersIfNeeded(now);
  }

  /** Completes the change to this member's epoch when it has not been announced in time. */
  private async completeOverdueChange(now: number): Promise<void> {
    const { replica, timing } = this.options;
    const { record, newestRecord } = replica.view;
    const isUnannounced = (record?.epoch ?? 0) > (newestRecord?.epoch ?? 0);
    this.unannouncedSince = isUnannounced ? (this.unannouncedSince ?? now) : undefined;
    if (this.unannouncedSince === undefined) return;
    if (now - this.unannouncedSince >= timing.takeOverMs) await this.changer.complete();
  }

  /** Restarts the group if it has lost its memory for good; for the first node of the fleet. */
  async restartIfLost(): Promise<void> {
    const record = this.record;
    if (record === undefined) return;
    const chosen = chooseMembers(undefined, this.options.candidates(), this.name);
    const next = await this.restarter.check(record, chosen);
    if (next !== undefined) this.observe(next);
  }

  /** Reads the other members' tables for a recovering or pending replica. */
  private async readOtherTables(): Promise<void> {
    const { replica, client, timing } = this.options;
    const { members, request } = replica.pendingReads();
    const reads = members.map(async (nodeId) => {
      const reply = await client.query(nodeId, request, timing.changeTimeoutMs);
      if (reply !== undefined) replica.post({ type: 'recovered', reply });
    });
    await Promise.all(reads);
  }

  /** Reads the platform's record and replaces it when this node knows a newer one. */
  private async syncWithPlatform(): Promise<void> {
    const { store, replica } = this.options;
    if (this.record !== undefined && !replica.view.isMember) return;
    const stored = await store.read();
    if (stored === undefined) return;
    if (stored.record !== undefined) this.observe(stored.record);
    const record = this.record;
    if (record === undefined || (stored.record?.epoch ?? 0) >= record.epoch) return;
    await store.write(record, stored.modRevision);
  }

  /**
   * Creates the first record; for the first node of the fleet. The platform's compare-and-swap
   * decides which node's first record counts.
   */
  async createFirstRecord(): Promise<void> {
    const { store } = this.options;
    const chosen = chooseMembers(undefined, this.options.candidates(), this.name);
    const members = await this.changer.findMembers(undefined, chosen);
    if (members.length === 0 || members.length < chosen.length) return;
    const record: PlacementRecord = { epoch: 1, members, fresh: true, floorMs: 0 };
    if (await store.write(record, 0)) await this.changer.establish([record]);
  }

  /**
   * Changes the epoch when the members should change. The first responding member proposes the
   * change. Each further one waits `takeOverMs` longer than the one before it, in case that one
   * does not complete it.
   */
  private async changeMembersIfNeeded(now: number): Promise<void> {
    const { replica, timing } = this.options;
    const { record, status } = replica.view;
    this.sealedSince = status === 'sealed' ? (this.sealedSince ?? now) : undefined;
    if (record === undefined || (status !== 'voting' && status !== 'sealed')) return;
    const candidates = this.options.candidates();
    const chosen = chooseMembers(record, candidates, this.name);
    const isStuck = this.sealedSince !== undefined && canAgree(record, candidates);
    const wanted = isStuck || shouldChange(record, chosen, candidates);
    this.changeWantedSince = wanted ? (this.changeWantedSince ?? now) : undefined;
    if (this.changeWantedSince === undefined) return;
    const responding = respondingMembers(record, candidates);
    const rank = Math.max(0, responding.indexOf(replica.view.self.nodeId));
    const delayMs = timing.changeDelayMs + rank * timing.takeOverMs;
    if (now - this.changeWantedSince < delayMs) return;
    this.changeWantedSince = undefined;
    await this.changer.change(chosen, now + timing.takeOverMs);
  }
}

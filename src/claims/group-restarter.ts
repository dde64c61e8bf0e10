/**
 * Restarts a replica group after the loss of a majority: writes a fresh record of the next epoch,
 * which refuses every key that the lost group may have granted.
 */
import {
  floorAfterLoss,
  isGroupLost,
  LOSS_CONFIRMATION_MS,
  type MemberObservation,
} from '../core/claim/group-loss.js';
import { isMember, type PlacementRecord } from '../core/claim/placement.js';
import type { ReplicaReply } from '../core/claim/replica-messages.js';
import type { Clock } from '../kernel/clock.js';
import type { Membership } from '../membership/membership.js';
import type { PlatformClient } from '../etcd/platform-client.js';
import type { ClaimTiming } from './claim-timing.js';
import type { EpochChanger } from './epoch-changer.js';
import type { PlacementStore } from './placement-store.js';
import type { ReplicaClient } from './replica-client.js';

/** Maximum number of nodes that are polled before a group is restarted. */
const MAX_POLLED_NODES = 1_024;

/** Dependencies of a {@link GroupRestarter}. */
export interface GroupRestarterOptions {
  readonly clock: Clock;
  readonly timing: ClaimTiming;
  readonly membership: Membership;
  readonly listMachines: PlatformClient['machines'];
  readonly client: ReplicaClient;
  readonly store: PlacementStore;
  readonly changer: EpochChanger;
}

/** Detects from one node that a group is lost, and restarts it. */
export class GroupRestarter {
  private lost:
    { readonly epoch: number; readonly at: number; readonly wallAt: number } | undefined;

  constructor(private readonly options: GroupRestarterOptions) {}

  /**
   * Checks the group once; call it every few seconds from one node of the fleet.
   *
   * @param chosen node ids of a new group
   * @returns the record of the new group, when one was started
   */
  async check(
    record: PlacementRecord,
    chosen: readonly string[],
  ): Promise<PlacementRecord | undefined> {
    const { clock } = this.options;
    const observations = await this.observe(record);
    if (observations === undefined || !isGroupLost(record, observations)) {
      this.lost = undefined;
      return undefined;
    }
    if (this.lost?.epoch !== record.epoch) {
      this.lost = { epoch: record.epoch, at: clock.now(), wallAt: clock.wallNow() };
    }
    if (clock.now() - this.lost.at < LOSS_CONFIRMATION_MS) return undefined;
    if (await this.isSupersededAnywhere(record)) return undefined;
    return this.startNewGroup(record, chosen, floorAfterLoss(this.lost.wallAt));
  }

  /** Observes the record's members; `undefined` when the list of machines cannot be read. */
  private async observe(
    record: PlacementRecord,
  ): Promise<ReadonlyMap<string, MemberObservation> | undefined> {
    const machines = await this.options.listMachines();
    if (machines.isErr) return undefined;
    const listed = new Set(machines.value.map((machine) => machine.id));
    const observations = new Map<string, MemberObservation>();
    const requests = record.members.map(async ({ nodeId }) => {
      const reply = await this.requestStatus(nodeId);
      const memberState = this.options.membership.find(nodeId)?.state ?? 'failed';
      const isGone = memberState === 'failed' && !listed.has(nodeId);
      if (reply?.type === 'status') {
        const { incarnation, status } = reply;
        observations.set(nodeId, { type: 'answer', incarnation, status });
      } else observations.set(nodeId, { type: isGone ? 'gone' : 'silent' });
    });
    await Promise.all(requests);
    return observations;
  }

  /** Whether some node participates in a later epoch that has not been announced yet. */
  private async isSupersededAnywhere(record: PlacementRecord): Promise<boolean> {
    const nodes = this.options.membership.members().slice(0, MAX_POLLED_NODES);
    const replies = await Promise.all(nodes.map((node) => this.requestStatus(node.nodeId)));
    return replies.some((reply, index) => {
      if (reply?.type !== 'status') return false;
      if ((reply.record?.epoch ?? 0) > record.epoch) return true;
      const participates = reply.status === 'voting' || reply.status === 'sealed';
      return participates && !isMember(record, nodes[index]!.nodeId);
    });
  }

  /** Writes the new group's record; the platform's compare-and-swap prevents a second new group. */
  private async startNewGroup(
    record: PlacementRecord,
    chosen: readonly string[],
    floorMs: number,
  ): Promise<PlacementRecord | undefined> {
    const { store, changer } = this.options;
    const stored = await store.read();
    if (stored?.record?.epoch !== record.epoch) return undefined;
    const members = await changer.findMembers(undefined, chosen);
    if (members.length === 0) return undefined;
    const next = { epoch: record.epoch + 1, members, fresh: true, floorMs };
    if (!(await store.write(next, stored.modRevision))) return undefined;
    await changer.establish([record, next]);
    return next;
  }

  private requestStatus(nodeId: string): Promise<ReplicaReply | undefined> {
    const { client, timing } = this.options;
    return client.query(nodeId, { type: 'status' }, timing.changeTimeoutMs);
  }
}

/** Runs a change of epoch over the network: prepare, accept, install, establish. */
import { ClaimTable } from '../core/claim/claim-table.js';
import { EpochChange, type EpochChangeStep } from '../core/claim/epoch-change.js';
import { majorityOf, type Incarnation, type PlacementRecord } from '../core/claim/placement.js';
import type { ReplicaReply, ReplicaRequest } from '../core/claim/replica-messages.js';
import type { Clock } from '../kernel/clock.js';
import type { ClaimTiming } from './claim-timing.js';
import type { PlacementStore } from './placement-store.js';
import type { ReplicaClient } from './replica-client.js';
import type { ReplicaTask } from './replica-task.js';

/** Dependencies of an {@link EpochChanger}. */
export interface EpochChangerOptions {
  readonly clock: Clock;
  readonly timing: ClaimTiming;
  readonly replica: ReplicaTask;
  readonly client: ReplicaClient;
  readonly store: PlacementStore;
}

/** Proposes epochs of one group at one node. */
export class EpochChanger {
  private round = 0;
  private busy = false;

  constructor(private readonly options: EpochChangerOptions) {}

  /**
   * Proposes new members and completes that change, or the change that another proposer has
   * begun. May end without success; the caller retries.
   *
   * @param chosen node ids of the next epoch
   * @param deadline give up at this local monotonic time
   * @returns whether a next epoch was established
   */
  async change(chosen: readonly string[], deadline: number): Promise<boolean> {
    const old = this.options.replica.view.record;
    if (old === undefined || this.busy) return false;
    this.busy = true;
    try {
      return await this.propose(old, chosen, deadline);
    } finally {
      this.busy = false;
    }
  }

  /**
   * Queries nodes for their incarnations. Leaves out nodes that are about to stop, and new ones
   * that do not reply. A current member that does not reply stays if the responsive ones are a
   * majority.
   */
  async findMembers(
    old: PlacementRecord | undefined,
    chosen: readonly string[],
  ): Promise<readonly Incarnation[]> {
    const { client, timing } = this.options;
    const responsive: Incarnation[] = [];
    const unresponsive: Incarnation[] = [];
    const requests = chosen.map(async (nodeId) => {
      const reply = await client.query(nodeId, { type: 'status' }, timing.changeTimeoutMs);
      const currentMember = old?.members.find((member) => member.nodeId === nodeId);
      if (reply?.type !== 'status')
        unresponsive.push(...(currentMember === undefined ? [] : [currentMember]));
      else if (reply.willing) responsive.push({ nodeId, incarnation: reply.incarnation });
    });
    await Promise.all(requests);
    const all = [...responsive, ...unresponsive];
    const members = responsive.length >= majorityOf(all.length) ? all : responsive;
    return members.sort((a, b) => chosen.indexOf(a.nodeId) - chosen.indexOf(b.nodeId));
  }

  /** Notifies the members of the given records that the last of these is established. */
  async establish(records: readonly PlacementRecord[]): Promise<void> {
    const record = records.at(-1);
    if (record === undefined) return;
    const ids = records.flatMap((each) => each.members.map((member) => member.nodeId));
    await this.queryEach([...new Set(ids)], { type: 'establish', record });
  }

  private async propose(
    old: PlacementRecord,
    chosen: readonly string[],
    deadline: number,
  ): Promise<boolean> {
    const members = await this.findMembers(old, chosen);
    if (members.length === 0 || !this.isChangeNeeded(old, members)) return false;
    const proposed = { epoch: old.epoch + 1, members, fresh: false, floorMs: old.floorMs };
    const change = new EpochChange(old, this.nextBallot(), proposed);
    const { epoch } = old;
    const { ballot } = change;
    if (!(await this.runPhase(change, { type: 'prepare', epoch, ballot }, 'accepting')))
      return false;
    const { successor } = change;
    if (!(await this.runPhase(change, { type: 'accept', epoch, ballot, successor }, 'decided'))) {
      return false;
    }
    if (!(await this.install(change, deadline))) return false;
    await this.establish([old, successor]);
    await this.options.store.publish(successor);
    return true;
  }

  /** Whether the members differ from the current ones, or an unfinished change blocks votes. */
  private isChangeNeeded(old: PlacementRecord, members: readonly Incarnation[]): boolean {
    if (this.options.replica.view.status === 'sealed') return true;
    const isCurrentMember = (each: Incarnation): boolean =>
      old.members.some((member) => member.nodeId === each.nodeId);
    return members.length !== old.members.length || !members.every(isCurrentMember);
  }

  private async runPhase(
    change: EpochChange,
    request: ReplicaRequest,
    wanted: EpochChangeStep,
  ): Promise<boolean> {
    const ids = change.old.members.map((member) => member.nodeId);
    await this.queryEach(ids, request, (reply) => {
      change.onReply(reply);
      return change.step === wanted;
    });
    const rejectedBy = change.rejectedBy;
    if (rejectedBy !== undefined) this.round = Math.max(this.round, rejectedBy.round);
    return change.step === wanted;
  }

  /** Starts the new members; this node's replica last, because it holds the old epoch's memory. */
  private async install(change: EpochChange, deadline: number): Promise<boolean> {
    const { clock, replica } = this.options;
    const merged = new ClaimTable();
    for (const table of change.tables) merged.merge(table);
    const record = change.successor;
    const request = { type: 'install', record, table: merged.snapshot() } as const;
    const self = replica.view.self.nodeId;
    const ids = record.members.map((member) => member.nodeId);
    const ordered = [ids.filter((id) => id !== self), ids.filter((id) => id === self)];
    const installed = new Set<string>();
    do {
      for (const batch of ordered) {
        const missing = batch.filter((id) => !installed.has(id));
        await this.queryEach(missing, request, (reply, nodeId) => {
          if (reply.type === 'done') installed.add(nodeId);
          return false;
        });
      }
      if (installed.size >= majorityOf(ids.length)) return true;
    } while (clock.now() < deadline);
    return false;
  }

  /**
   * Completes a change whose proposer disappeared after it had started this node's replica: sends
   * this replica's tables to the other members, just as a pending member might read them.
   */
  async complete(): Promise<void> {
    const { client, replica, timing } = this.options;
    const { self, record, status } = replica.view;
    if (record === undefined || (status !== 'voting' && status !== 'sealed')) return;
    const read = { type: 'recover', epoch: record.epoch, ...self } as const;
    const ownReply = await client.query(self.nodeId, read, timing.changeTimeoutMs);
    if (ownReply?.type !== 'recovered') return;
    const request = { type: 'install', record, table: ownReply.memory.table } as const;
    let installed = 0;
    const ids = record.members.map((member) => member.nodeId);
    await this.queryEach(ids, request, (reply) => {
      if (reply.type === 'done') installed += 1;
      return false;
    });
    if (installed >= majorityOf(ids.length)) await this.establish([record]);
  }

  /** Queries all nodes at once; resolves on `isEnough`, or when all have replied or timed out. */
  private queryEach(
    nodeIds: readonly string[],
    request: ReplicaRequest,
    isEnough: (reply: ReplicaReply, nodeId: string) => boolean = () => false,
  ): Promise<void> {
    const { client, timing } = this.options;
    return new Promise((resolve) => {
      const requests = nodeIds.map(async (nodeId) => {
        const reply = await client.query(nodeId, request, timing.changeTimeoutMs);
        if (reply !== undefined && isEnough(reply, nodeId)) resolve();
      });
      void Promise.all(requests).then(() => {
        resolve();
      });
    });
  }

  /** A ballot above all seen by this node; unique, as it contains the process's incarnation. */
  private nextBallot(): { readonly round: number; readonly nodeId: string } {
    const { self, promisedBallot } = this.options.replica.view;
    this.round = Math.max(this.round, promisedBallot?.round ?? 0) + 1;
    return { round: this.round, nodeId: `${self.nodeId}#${self.incarnation}` };
  }
}

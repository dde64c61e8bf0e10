/** The replica groups as one node knows them: their number, newest records and local replicas. */
import { groupOfKey } from '../core/claim/claim-groups.js';
import type { Incarnation, PlacementRecord } from '../core/claim/placement.js';
import type { Clock } from '../kernel/clock.js';
import type { EventLog } from '../kernel/event.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import type { RecordsReply, RecordsRequest } from './claim-messages.js';
import { ReplicaClient } from './replica-client.js';
import { ReplicaServer } from './replica-server.js';
import { ReplicaTask } from './replica-task.js';

/** What the directory needs. */
export interface GroupDirectoryOptions {
  readonly self: Incarnation;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Requests that may wait for one replica. */
  readonly mailboxCapacity: number;
  /** Largest page of a table, in bytes. */
  readonly pageBytes?: number | undefined;
}

/** One group at this node; most nodes are members of few groups or none. */
export class LocalGroup {
  readonly replica: ReplicaTask;
  readonly server: ReplicaServer;
  readonly client: ReplicaClient;

  constructor(
    readonly index: number,
    options: GroupDirectoryOptions,
  ) {
    const { self, network, clock, log, mailboxCapacity, pageBytes } = options;
    this.replica = new ReplicaTask(self, mailboxCapacity, clock, log, index);
    this.server = new ReplicaServer(this.replica, clock, index, pageBytes);
    this.client = new ReplicaClient(network, this.replica, index, pageBytes);
  }

  /** Newest established record of the group that this node knows. */
  get placement(): PlacementRecord | undefined {
    return this.replica.view.newestRecord;
  }

  /** Takes in a record that somebody told about. */
  observe(record: PlacementRecord): void {
    if (record.epoch <= (this.placement?.epoch ?? 0)) return;
    this.replica.post({ type: 'observe', record });
  }

  /** Whether the replica takes part or may have to; otherwise the group needs no work here. */
  get isActive(): boolean {
    const { status, isMember } = this.replica.view;
    return isMember || status !== 'idle';
  }
}

/** The groups of one node. */
export class GroupDirectory {
  private readonly groups = new Map<number, LocalGroup>();
  private layout: number | undefined;
  private leaving = false;

  constructor(private readonly options: GroupDirectoryOptions) {}

  /** Number of groups of the fleet; `undefined` until it is known. */
  get count(): number | undefined {
    return this.layout;
  }

  /** Takes in the number of groups; it never changes. */
  setCount(count: number): void {
    this.layout ??= count;
  }

  /** The group of a key; `undefined` until the number of groups is known. */
  groupOf(key: string): LocalGroup | undefined {
    return this.layout === undefined ? undefined : this.open(groupOfKey(key, this.layout));
  }

  /** The group of this number. */
  open(index: number): LocalGroup {
    const known = this.groups.get(index);
    if (known !== undefined) return known;
    const group = new LocalGroup(index, this.options);
    if (this.leaving) group.replica.post({ type: 'withdraw' });
    this.groups.set(index, group);
    return group;
  }

  /** Groups that this node has had to do with. */
  get opened(): readonly LocalGroup[] {
    return [...this.groups.values()];
  }

  /** Whether the layout and a record of each group are known. */
  get isComplete(): boolean {
    return this.layout !== undefined && this.missing.length === 0;
  }

  /** Groups without a known record. */
  get missing(): readonly number[] {
    const indices = Array.from({ length: this.layout ?? 0 }, (_, index) => index);
    return indices.filter((index) => this.groups.get(index)?.placement === undefined);
  }

  /** Planned stop: from now on this node is no candidate for a next epoch of any group. */
  withdraw(): void {
    this.leaving = true;
    for (const { replica } of this.groups.values()) replica.post({ type: 'withdraw' });
  }

  /** What this node knows, as a question to another one. */
  describe(): RecordsRequest {
    const count = this.layout ?? 0;
    const epochs = Array.from({ length: count }, (_, index) => {
      return this.groups.get(index)?.placement?.epoch ?? 0;
    });
    return { groups: count, epochs };
  }

  /** Records that are newer than what the asker knows. */
  findNewer({ groups, epochs }: RecordsRequest): RecordsReply {
    if (groups > 0) this.setCount(groups);
    const records = this.opened.flatMap(({ index, placement }) => {
      if (index >= (this.layout ?? 0) || placement === undefined) return [];
      return placement.epoch > (epochs[index] ?? 0) ? [{ group: index, record: placement }] : [];
    });
    return { groups: this.layout ?? 0, records };
  }

  /** Takes in what another node knows. */
  take({ groups, records }: RecordsReply): void {
    if (groups > 0) this.setCount(groups);
    for (const { group, record } of records) this.open(group).observe(record);
  }

  /** Closes all replicas. */
  close(): void {
    for (const { replica } of this.groups.values()) replica.close();
  }
}

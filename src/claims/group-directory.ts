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

/** Dependencies of a {@link GroupDirectory}. */
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

  /** Records a newer placement record that another node or the platform reported. */
  observe(record: PlacementRecord): void {
    if (record.epoch <= (this.placement?.epoch ?? 0)) return;
    this.replica.post({ type: 'observe', record });
  }

  /** Whether the replica participates or may have to; otherwise the group needs no work here. */
  get isActive(): boolean {
    const { status, isMember } = this.replica.view;
    return isMember || status !== 'idle';
  }
}

/** The replica groups that one node knows. */
export class GroupDirectory {
  private readonly groups = new Map<number, LocalGroup>();
  private groupCount: number | undefined;
  private leaving = false;

  constructor(private readonly options: GroupDirectoryOptions) {}

  /** Number of groups of the fleet; `undefined` until it is known. */
  get count(): number | undefined {
    return this.groupCount;
  }

  /** Sets the number of groups; once set, it never changes. */
  setCount(count: number): void {
    this.groupCount ??= count;
  }

  /** The group of a key; `undefined` until the number of groups is known. */
  groupOf(key: string): LocalGroup | undefined {
    return this.groupCount === undefined ? undefined : this.open(groupOfKey(key, this.groupCount));
  }

  /** Finds the group of this number; creates it on first use. */
  open(index: number): LocalGroup {
    const known = this.groups.get(index);
    if (known !== undefined) return known;
    const group = new LocalGroup(index, this.options);
    if (this.leaving) group.replica.post({ type: 'withdraw' });
    this.groups.set(index, group);
    return group;
  }

  /** Groups that have been used at this node. */
  get opened(): readonly LocalGroup[] {
    return [...this.groups.values()];
  }

  /** Whether the number of groups and a record of each group are known. */
  get isComplete(): boolean {
    return this.groupCount !== undefined && this.missing.length === 0;
  }

  /** Groups without a known record. */
  get missing(): readonly number[] {
    const indices = Array.from({ length: this.groupCount ?? 0 }, (_, index) => index);
    return indices.filter((index) => this.groups.get(index)?.placement === undefined);
  }

  /** Planned stop: this node is no longer a candidate for a next epoch of any group. */
  withdraw(): void {
    this.leaving = true;
    for (const { replica } of this.groups.values()) replica.post({ type: 'withdraw' });
  }

  /** Creates a request for the records that are newer than those of this node. */
  createRecordsRequest(): RecordsRequest {
    const count = this.groupCount ?? 0;
    const epochs = Array.from({ length: count }, (_, index) => {
      return this.groups.get(index)?.placement?.epoch ?? 0;
    });
    return { groups: count, epochs };
  }

  /** Finds the records that are newer than those of the requesting node. */
  findNewer({ groups, epochs }: RecordsRequest): RecordsReply {
    if (groups > 0) this.setCount(groups);
    const records = this.opened.flatMap(({ index, placement }) => {
      if (index >= (this.groupCount ?? 0) || placement === undefined) return [];
      return placement.epoch > (epochs[index] ?? 0) ? [{ group: index, record: placement }] : [];
    });
    return { groups: this.groupCount ?? 0, records };
  }

  /** Applies another node's reply to a request for records. */
  applyRecords({ groups, records }: RecordsReply): void {
    if (groups > 0) this.setCount(groups);
    for (const { group, record } of records) this.open(group).observe(record);
  }

  /** Closes all replicas. */
  close(): void {
    for (const { replica } of this.groups.values()) replica.close();
  }
}

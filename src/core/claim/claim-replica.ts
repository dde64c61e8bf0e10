/**
 * Claim replica: the state machine that votes on keys, recovers after a restart by reading the
 * other members, and stops voting when its group agrees on the next epoch.
 *
 * Pure: requests and wall time in, replies out. spec/claim.pml and spec/claim-placement.pml
 * specify the protocol; docs/design/claims.md explains it.
 */
import { isExpired } from './claim-key.js';
import { ClaimTable, type ClaimSubject } from './claim-table.js';
import { EndedRounds } from './ended-rounds.js';
import { isMember, type Incarnation, type PlacementRecord, type Vote } from './placement.js';
import {
  isBelow,
  type AcceptedSuccessor,
  type AcceptMessage,
  type Ballot,
  type ChargeMessage,
  type ClaimMessage,
  type InstallMessage,
  type PrepareMessage,
  type RecoverMessage,
  type ReleaseMessage,
  type ReplicaMemory,
  type ReplicaReply,
  type ReplicaRequest,
  type ReplicaStatus,
} from './replica-messages.js';

const DONE: ReplicaReply = { type: 'done' };

/** One replica. */
export class ClaimReplica {
  protected readonly table = new ClaimTable();
  protected known = new Map<string, number>();
  protected current: PlacementRecord | undefined;
  protected state: ReplicaStatus = 'idle';
  private willing = true;
  private established: PlacementRecord | undefined;
  private promised: Ballot | undefined;
  private accepted: AcceptedSuccessor | undefined;
  private readonly recoveredFrom = new Set<string>();
  private readonly ended = new EndedRounds();

  /** @param self identity of this process */
  constructor(readonly self: Incarnation) {}

  get status(): ReplicaStatus {
    return this.state;
  }

  /** Newest record that this replica has entered, whether or not the record names this node. */
  get record(): PlacementRecord | undefined {
    return this.current;
  }

  /** Newest record that is known to have been established. */
  get newestRecord(): PlacementRecord | undefined {
    return this.established;
  }

  /** Number of claims held. */
  get size(): number {
    return this.table.size;
  }

  /** Highest ballot promised in this epoch. */
  get promisedBallot(): Ballot | undefined {
    return this.promised;
  }

  /** Handles one request; `wallNowMs` in Unix milliseconds. */
  handle(request: ReplicaRequest, wallNowMs: number): ReplicaReply {
    switch (request.type) {
      case 'claim':
        return this.onClaim(request, wallNowMs);
      case 'charge':
        return this.onCharge(request, wallNowMs);
      case 'release':
        return this.onRelease(request);
      case 'finish':
        if (!this.keepsTable()) return this.notVoting();
        this.table.finish(request.subject, request.answer);
        return this.acknowledge(request.epoch);
      case 'give-back':
        if (!this.keepsTable()) return this.notVoting();
        this.table.budgets.release(request.key, request.chargeId, request.unused);
        return this.acknowledge(request.epoch);
      case 'recover':
        return this.onRecover(request);
      case 'prepare':
        return this.onPrepare(request);
      case 'accept':
        return this.onAccept(request);
      case 'install':
        return this.onInstall(request);
      case 'establish':
        this.observe(request.record);
        return DONE;
      case 'status':
        return this.describe();
    }
  }

  /** Discards expired claims and budgets. */
  expire(wallNowMs: number): void {
    this.table.expire(wallNowMs);
  }

  /**
   * Records an established record. A member that was started after the record was agreed begins to
   * recover; a replica of an older epoch discards that epoch's tables.
   */
  observe(record: PlacementRecord): void {
    if (record.epoch > (this.established?.epoch ?? 0)) this.established = record;
    if (record.epoch <= (this.current?.epoch ?? 0)) return;
    this.enter(record);
    const listed = record.members.find((member) => member.nodeId === this.self.nodeId);
    if (listed === undefined) this.state = 'idle';
    else if (listed.incarnation !== this.self.incarnation) this.startRecovery();
    else this.state = record.fresh ? 'voting' : 'pending';
  }

  /** Starts the planned stop: this node is no longer a candidate for a next epoch. */
  withdraw(): void {
    this.willing = false;
  }

  /** Members whose tables a recovering or pending replica may read. */
  unreadMembers(): readonly string[] {
    if (this.state !== 'recovering' && this.state !== 'pending') return [];
    if (this.current === undefined) return [];
    return this.others(this.current).filter((nodeId) => !this.recoveredFrom.has(nodeId));
  }

  /** The request with which a recovering or pending replica reads another one's tables. */
  createRecoverRequest(): RecoverMessage {
    return { type: 'recover', epoch: this.current?.epoch ?? 0, ...this.self };
  }

  /**
   * Handles a reply to {@link createRecoverRequest}. A restarted replica votes again once it has
   * read every other member; a pending one, which has never voted in this epoch, after reading any
   * one member.
   */
  onRecovered(reply: ReplicaReply): void {
    if (reply.type !== 'recovered' || this.unreadMembers().length === 0) return;
    if (reply.vote.epoch !== this.current?.epoch) return;
    this.recoveredFrom.add(reply.vote.nodeId);
    this.known.set(reply.vote.nodeId, reply.vote.incarnation);
    this.mergeMemory(reply.memory);
    if (this.mustReadMore()) return;
    this.state = this.promised === undefined ? 'voting' : 'sealed';
  }

  /** Whether a recovering replica has members left to read. */
  protected mustReadMore(): boolean {
    return this.state === 'recovering' && this.unreadMembers().length > 0;
  }

  private onClaim(request: ClaimMessage, wallNowMs: number): ReplicaReply {
    if (!this.votesIn(request.epoch)) return this.notVoting();
    const { subject } = request;
    const entry = this.table.find(subject.key);
    if (entry === undefined) return this.grantFreeKey(subject, wallNowMs);
    if (entry.fingerprint !== subject.fingerprint) return { type: 'reused' };
    if (entry.phase === 'finished') {
      const { attemptId, answer } = entry;
      return { type: 'finished', attemptId, ...(answer === undefined ? {} : { answer }) };
    }
    if (entry.phase === 'held' && entry.attemptId === subject.attemptId) {
      return { type: 'granted', vote: this.vote() };
    }
    return { type: 'held', attemptId: entry.phase === 'conflict' ? '' : entry.attemptId };
  }

  private grantFreeKey(subject: ClaimSubject, wallNowMs: number): ReplicaReply {
    const belowFloor = subject.issuedAtMs < (this.current?.floorMs ?? 0);
    if (this.ended.has(subject.attemptId)) return this.notVoting();
    if (belowFloor || isExpired(subject.issuedAtMs, wallNowMs)) return { type: 'expired' };
    if (!this.table.hold(subject)) return { type: 'full' };
    return { type: 'granted', vote: this.vote() };
  }

  /** Records a round whose release arrives before its claim, so that the claim is not granted. */
  private onRelease(request: ReleaseMessage): ReplicaReply {
    if (!this.keepsTable()) return this.notVoting();
    const wasHolder = this.table.release(request.key, request.attemptId);
    if (!wasHolder) this.ended.add(request.attemptId);
    return this.acknowledge(request.epoch);
  }

  /**
   * Confirms a change of the table only while this replica votes in the sender's epoch. A sealed
   * replica has transferred its table, perhaps before the change; another epoch's table may be
   * replaced by a transferred one. In both cases the sender sends the message again to the next
   * epoch.
   */
  private acknowledge(epoch: number): ReplicaReply {
    return this.votesIn(epoch) ? DONE : this.notVoting();
  }

  private onCharge(request: ChargeMessage, wallNowMs: number): ReplicaReply {
    if (!this.votesIn(request.epoch)) return this.notVoting();
    const slots = this.table.budgets.charge(request.charge, wallNowMs);
    if (slots === undefined) return { type: 'full' };
    return { type: 'charged', vote: this.vote(), slots };
  }

  /** Lets a restarted member read this replica; from now on only its new incarnation counts. */
  private onRecover(request: RecoverMessage): ReplicaReply {
    if (!this.keepsTable() || request.epoch !== this.current?.epoch) return this.notVoting();
    const known = this.known.get(request.nodeId);
    if (known === undefined || request.incarnation < known) return this.notVoting();
    this.known.set(request.nodeId, request.incarnation);
    return { type: 'recovered', vote: this.vote(), memory: this.memory() };
  }

  private onPrepare(request: PrepareMessage): ReplicaReply {
    if (!this.keepsTable() || request.epoch !== this.current?.epoch) return this.notVoting();
    if (!isBelow(this.promised, request.ballot)) {
      return { type: 'rejected', promised: this.promised! };
    }
    this.promised = request.ballot;
    this.state = 'sealed';
    return { type: 'promised', vote: this.vote(), memory: this.memory() };
  }

  private onAccept(request: AcceptMessage): ReplicaReply {
    if (!this.keepsTable() || request.epoch !== this.current?.epoch) return this.notVoting();
    if (this.promised !== undefined && isBelow(request.ballot, this.promised)) {
      return { type: 'rejected', promised: this.promised };
    }
    this.promised = request.ballot;
    this.accepted = { ballot: request.ballot, successor: request.successor };
    this.state = 'sealed';
    return { type: 'accepted', vote: this.vote() };
  }

  /** Starts voting in an agreed epoch, unless the record does not name this incarnation. */
  private onInstall(request: InstallMessage): ReplicaReply {
    const { record, table } = request;
    const epoch = this.current?.epoch ?? 0;
    const isAwaited = record.epoch === epoch && this.state === 'pending';
    if (record.epoch < epoch) return DONE;
    if (record.epoch === epoch && !isAwaited) return this.keepsTable() ? DONE : this.notVoting();
    const listed = record.members.find((member) => member.nodeId === this.self.nodeId);
    if (listed?.incarnation !== this.self.incarnation) return this.notVoting();
    this.enter(record);
    this.table.merge(table);
    this.state = 'voting';
    return DONE;
  }

  private enter(record: PlacementRecord): void {
    this.current = record;
    this.known = new Map(record.members.map((member) => [member.nodeId, member.incarnation]));
    this.promised = undefined;
    this.accepted = undefined;
    this.recoveredFrom.clear();
    this.table.clear();
  }

  /** Starts reading the other members; the only replica of a group has none: its memory is lost. */
  private startRecovery(): void {
    this.state = 'recovering';
    this.known.set(this.self.nodeId, this.self.incarnation);
  }

  /** Merges the memory of another member into this one's. */
  protected mergeMemory(memory: ReplicaMemory): void {
    this.table.merge(memory.table);
    if (memory.promised !== undefined && isBelow(this.promised, memory.promised)) {
      this.promised = memory.promised;
    }
    const accepted = memory.accepted;
    if (accepted !== undefined && isBelow(this.accepted?.ballot, accepted.ballot)) {
      this.accepted = accepted;
    }
  }

  private others(record: PlacementRecord): readonly string[] {
    const ids = record.members.map((member) => member.nodeId);
    return ids.filter((nodeId) => nodeId !== this.self.nodeId);
  }

  private votesIn(epoch: number): boolean {
    return this.state === 'voting' && this.current?.epoch === epoch;
  }

  private keepsTable(): boolean {
    return this.state === 'voting' || this.state === 'sealed';
  }

  private memory(): ReplicaMemory {
    return {
      table: this.table.snapshot(),
      ...(this.promised === undefined ? {} : { promised: this.promised }),
      ...(this.accepted === undefined ? {} : { accepted: this.accepted }),
    };
  }

  private vote(): Vote {
    const known = [...this.known].map(([nodeId, incarnation]) => ({ nodeId, incarnation }));
    return { ...this.self, epoch: this.current?.epoch ?? 0, known };
  }

  private notVoting(): ReplicaReply {
    if (this.established === undefined) return { type: 'not-voting' };
    return { type: 'not-voting', record: this.established };
  }

  private describe(): ReplicaReply {
    const { incarnation } = this.self;
    const { state: status, willing } = this;
    const base = { type: 'status', incarnation, status, willing } as const;
    return this.established === undefined ? base : { ...base, record: this.established };
  }

  /** Whether the record in force names this node. */
  get isMember(): boolean {
    return this.current !== undefined && isMember(this.current, this.self.nodeId);
  }
}

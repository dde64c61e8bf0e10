/** The task that owns this node's replica of a group; every access goes through its mailbox. */
import { Result } from 'true-myth';
import { ClaimReplica } from '../core/claim/claim-replica.js';
import type { Incarnation, PlacementRecord } from '../core/claim/placement.js';
import type { ReplicaReply, ReplicaRequest } from '../core/claim/replica-messages.js';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import { Task } from '../kernel/task.js';

/** Messages of the replica task. */
export type ReplicaTaskMessage =
  | {
      readonly type: 'request';
      readonly request: ReplicaRequest;
      readonly reply: (reply: ReplicaReply) => void;
    }
  | { readonly type: 'observe'; readonly record: PlacementRecord }
  | { readonly type: 'recovered'; readonly reply: ReplicaReply }
  | { readonly type: 'withdraw' }
  | { readonly type: 'expire' };

/** Owns the local claim replica of one group. */
export class ReplicaTask extends Task<ReplicaTaskMessage> {
  private readonly replica: ClaimReplica;

  constructor(
    self: Incarnation,
    capacity: number,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly group = 0,
  ) {
    super('claim-replica', capacity);
    this.replica = new ClaimReplica(self);
  }

  /** Read access for the tasks of the same node. */
  get view(): Pick<
    ClaimReplica,
    'self' | 'status' | 'record' | 'newestRecord' | 'size' | 'promisedBallot' | 'isMember'
  > {
    return this.replica;
  }

  /** Handles a request from this or another node. */
  request(request: ReplicaRequest): Promise<Result<ReplicaReply, Failure>> {
    return new Promise((resolve) => {
      const reply = (value: ReplicaReply): void => {
        resolve(Result.ok(value));
      };
      if (this.post({ type: 'request', request, reply })) return;
      resolve(Result.err(createFailure(ResultCode.MailboxFull, 'claim replica is busy')));
    });
  }

  /** Members to read from now, with the request to send; empty unless recovering or pending. */
  pendingReads(): { readonly members: readonly string[]; readonly request: ReplicaRequest } {
    return {
      members: this.replica.unreadMembers(),
      request: this.replica.createRecoverRequest(),
    };
  }

  protected handle(message: ReplicaTaskMessage): void {
    const previousStatus = this.replica.status;
    switch (message.type) {
      case 'request':
        message.reply(this.replica.handle(message.request, this.clock.wallNow()));
        break;
      case 'observe':
        this.replica.observe(message.record);
        break;
      case 'recovered':
        this.replica.onRecovered(message.reply);
        break;
      case 'withdraw':
        this.replica.withdraw();
        break;
      case 'expire':
        this.replica.expire(this.clock.wallNow());
        break;
    }
    if (this.replica.status !== previousStatus) this.logStatus();
  }

  private logStatus(): void {
    const { status, record, size } = this.replica;
    const fields = { group: this.group, epoch: record?.epoch ?? 0, status, claims: size };
    if (status === 'voting') this.log.emit(Event.ClaimReplicaReady, fields);
    if (status === 'recovering') this.log.emit(Event.ClaimReplicaRecovering, fields);
    if (status === 'idle') this.log.emit(Event.ClaimHandedOver, fields);
  }
}

/**
 * Claim coordinator: collects the replicas' replies to one claim and decides. Pure; the claim
 * task sends the messages and keeps the time.
 */
import type { HttpAnswer } from '../http-message.js';
import { agree, hasMajority, majorityOf } from './placement.js';
import type { AgreementRule, PlacementRecord, Vote } from './placement.js';
import type { ReplicaReply } from './replica-messages.js';

/** What the replies so far amount to. */
export type ClaimVerdict =
  /** A majority granted the key to this attempt. */
  | { readonly type: 'granted' }
  /** Replies that are still to come may decide. */
  | { readonly type: 'waiting' }
  /** No majority for anybody in this round; a new round may decide. */
  | { readonly type: 'undecided' }
  /** An earlier attempt holds the key. */
  | { readonly type: 'in-progress' }
  | { readonly type: 'finished'; readonly answer?: HttpAnswer }
  | { readonly type: 'reused' }
  | { readonly type: 'expired' };

/** One round of one claim. */
export class ClaimRound {
  private readonly replies = new Map<string, ReplicaReply>();
  private closed = false;

  constructor(
    readonly record: PlacementRecord,
    private readonly rule: AgreementRule = agree,
  ) {}

  /** Takes in the reply of a member; `undefined` when none came. Later replies replace earlier ones. */
  onReply(nodeId: string, reply: ReplicaReply | undefined): void {
    this.replies.set(nodeId, reply ?? { type: 'not-voting' });
  }

  /**
   * Ends the round without a grant: no later reply turns it into one. Only after this may the
   * grants be released.
   */
  giveUp(): void {
    this.closed = true;
  }

  /** Decides on the replies so far. */
  verdict(): ClaimVerdict {
    const refusal = this.findRefusal();
    if (refusal !== undefined) return refusal;
    if (!this.closed && hasMajority(this.votes(), this.record, this.rule)) {
      return { type: 'granted' };
    }
    if (this.isHeldByOther()) return { type: 'in-progress' };
    if (this.closed || this.replies.size >= this.record.members.length) {
      return { type: 'undecided' };
    }
    return { type: 'waiting' };
  }

  /** Whether some replica reported an earlier attempt. */
  get sawEarlierAttempt(): boolean {
    return this.list().some((reply) => reply.type === 'held');
  }

  /** Whether a majority that agrees had no earlier attempt: then none was dispatched. */
  get provesNoEarlierAttempt(): boolean {
    return !this.sawEarlierAttempt && hasMajority(this.votes(), this.record, this.rule);
  }

  /** A newer record that a replica told about. */
  findNewerRecord(): PlacementRecord | undefined {
    for (const reply of this.list()) {
      if (reply.type === 'not-voting' && (reply.record?.epoch ?? 0) > this.record.epoch) {
        return reply.record;
      }
    }
    return undefined;
  }

  private list(): readonly ReplicaReply[] {
    return [...this.replies.values()];
  }

  private votes(): readonly Vote[] {
    return this.list().flatMap((reply) => (reply.type === 'granted' ? [reply.vote] : []));
  }

  /** One replica suffices: such a record is only written after a dispatch or about the key itself. */
  private findRefusal(): ClaimVerdict | undefined {
    const replies = this.list();
    const finished = replies.filter((reply) => reply.type === 'finished');
    const answered = finished.find((reply) => reply.answer !== undefined);
    if (answered?.answer !== undefined) return { type: 'finished', answer: answered.answer };
    if (replies.some((reply) => reply.type === 'reused')) return { type: 'reused' };
    if (finished.length > 0 && replies.length >= this.record.members.length) {
      return { type: 'finished' };
    }
    if (finished.length >= majorityOf(this.record.members.length)) return { type: 'finished' };
    if (replies.some((reply) => reply.type === 'expired')) return { type: 'expired' };
    return undefined;
  }

  private isHeldByOther(): boolean {
    const held = this.list().flatMap((reply) => (reply.type === 'held' ? [reply.attemptId] : []));
    const wanted = majorityOf(this.record.members.length);
    if (held.includes('')) return true;
    return held.some((holder) => held.filter((other) => other === holder).length >= wanted);
  }
}

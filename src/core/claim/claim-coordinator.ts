/**
 * Claim coordinator: collects the replicas' replies to one claim and decides. Pure; the claim
 * task sends the messages and runs the timers.
 */
import type { HttpAnswer } from '../http-message.js';
import { agree, hasMajority, majorityOf } from './placement.js';
import type { AgreementRule, PlacementRecord, Vote } from './placement.js';
import type { ReplicaReply } from './replica-messages.js';

/** Decision on the replies received so far. */
export type ClaimVerdict =
  /** A majority granted the key to this attempt. */
  | { readonly type: 'granted' }
  /** Outstanding replies may decide. */
  | { readonly type: 'waiting' }
  /** No attempt has a majority in this round; a new round may decide. */
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

  /** Records a member's reply, replacing its earlier one; `undefined` when none arrived. */
  onReply(nodeId: string, reply: ReplicaReply | undefined): void {
    this.replies.set(nodeId, reply ?? { type: 'not-voting' });
  }

  /**
   * Ends the round without a grant; later replies cannot grant it. The grants may be released
   * only after this.
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
    return this.listReplies().some((reply) => reply.type === 'held');
  }

  /** Whether a majority that agrees had no earlier attempt, so that none was dispatched. */
  get provesNoEarlierAttempt(): boolean {
    return !this.sawEarlierAttempt && hasMajority(this.votes(), this.record, this.rule);
  }

  /** Finds a newer record that a replica reported. */
  findNewerRecord(): PlacementRecord | undefined {
    for (const reply of this.listReplies()) {
      if (reply.type === 'not-voting' && (reply.record?.epoch ?? 0) > this.record.epoch) {
        return reply.record;
      }
    }
    return undefined;
  }

  private listReplies(): readonly ReplicaReply[] {
    return [...this.replies.values()];
  }

  private votes(): readonly Vote[] {
    return this.listReplies().flatMap((reply) => (reply.type === 'granted' ? [reply.vote] : []));
  }

  /** One reply suffices: a replica sends these only after a dispatch, or for the key itself. */
  private findRefusal(): ClaimVerdict | undefined {
    const replies = this.listReplies();
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
    const held = this.listReplies().flatMap((reply) =>
      reply.type === 'held' ? [reply.attemptId] : [],
    );
    const wanted = majorityOf(this.record.members.length);
    if (held.includes('')) return true;
    return held.some((holder) => held.filter((other) => other === holder).length >= wanted);
  }
}

/** Charge coordinator: finds the attempts that a majority of replicas gave to one charge. */
import { agree, hasMajority } from './placement.js';
import type { AgreementRule, PlacementRecord, Vote } from './placement.js';
import type { ReplicaReply } from './replica-messages.js';

/** Result of one round of a charge. */
export interface ChargeOutcome {
  /** Slots that count; at most as many as wanted. */
  readonly slots: readonly number[];
  /** Whether a majority of replicas that agree has replied. */
  readonly majorityReplied: boolean;
  /** Whether replicas gave slots, but none by a majority, so that another round may help. */
  readonly split: boolean;
}

interface ChargeVote {
  readonly vote: Vote;
  readonly slots: readonly number[];
}

/** One round of one charge. */
export class ChargeRound {
  private readonly replies = new Map<string, ReplicaReply>();

  constructor(
    readonly record: PlacementRecord,
    private readonly wanted: number,
    private readonly rule: AgreementRule = agree,
  ) {}

  /** Records the reply of a member; `undefined` when none arrived. */
  onReply(nodeId: string, reply: ReplicaReply | undefined): void {
    this.replies.set(nodeId, reply ?? { type: 'not-voting' });
  }

  /** Whether no further reply is needed. */
  get complete(): boolean {
    if (this.replies.size >= this.record.members.length) return true;
    return this.outcome().slots.length >= this.wanted;
  }

  /** Counts the slots in the replies so far. */
  outcome(): ChargeOutcome {
    const votes = this.votes();
    const offered = [...new Set(votes.flatMap((vote) => vote.slots))].sort((a, b) => a - b);
    const granted = offered.filter((slot) => this.hasMajorityFor(slot, votes));
    return {
      slots: granted.slice(0, this.wanted),
      majorityReplied: this.isMajority(votes),
      split: granted.length === 0 && offered.length > 0,
    };
  }

  private votes(): readonly ChargeVote[] {
    return [...this.replies.values()].filter((reply) => reply.type === 'charged');
  }

  private hasMajorityFor(slot: number, votes: readonly ChargeVote[]): boolean {
    return this.isMajority(votes.filter((vote) => vote.slots.includes(slot)));
  }

  private isMajority(votes: readonly ChargeVote[]): boolean {
    return hasMajority(
      votes.map((vote) => vote.vote),
      this.record,
      this.rule,
    );
  }
}

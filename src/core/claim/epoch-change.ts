/**
 * Proposer of the next epoch of a replica group: single-decree Paxos among the members of the
 * old epoch. The promise also stops the member's votes and carries its tables, so that every
 * claim which may have been dispatched is in the tables of any majority of promises.
 */
import { agree, hasMajority } from './placement.js';
import type { AgreementRule, PlacementRecord, Vote } from './placement.js';
import {
  isBelow,
  type AcceptedSuccessor,
  type Ballot,
  type ReplicaMemory,
  type ReplicaReply,
} from './replica-messages.js';

/** State of a proposal. */
export type EpochChangeStep = 'preparing' | 'accepting' | 'decided' | 'rejected';

/** One proposal under one ballot. */
export class EpochChange {
  private readonly promises = new Map<string, { vote: Vote; memory: ReplicaMemory }>();
  private readonly acceptances = new Map<string, Vote>();
  private phase: EpochChangeStep = 'preparing';
  private highestRejection: Ballot | undefined;
  private chosen: PlacementRecord;

  /**
   * @param old record of the epoch to end
   * @param proposed record of the next epoch; replaced by one that was accepted earlier
   */
  constructor(
    readonly old: PlacementRecord,
    readonly ballot: Ballot,
    proposed: PlacementRecord,
    private readonly rule: AgreementRule = agree,
  ) {
    this.chosen = proposed;
  }

  get step(): EpochChangeStep {
    return this.phase;
  }

  /** The next epoch's record; final once the step is `accepting`. */
  get successor(): PlacementRecord {
    return this.chosen;
  }

  /** Ballot that a member promised to another proposer, when rejected. */
  get rejectedBy(): Ballot | undefined {
    return this.highestRejection;
  }

  /** Tables of the members that promised, in the order of their replies. */
  get tables(): readonly ReplicaMemory['table'][] {
    return [...this.promises.values()].map((promise) => promise.memory.table);
  }

  /** Handles a reply to `prepare` or `accept` of this ballot. */
  onReply(reply: ReplicaReply): void {
    if (reply.type === 'rejected') this.onRejected(reply.promised);
    else if (reply.type === 'promised') this.onPromised(reply.vote, reply.memory);
    else if (reply.type === 'accepted') this.onAccepted(reply.vote);
  }

  private onRejected(promised: Ballot): void {
    if (this.phase === 'decided') return;
    if (isBelow(this.highestRejection, promised)) this.highestRejection = promised;
    this.phase = 'rejected';
  }

  private onPromised(vote: Vote, memory: ReplicaMemory): void {
    if (this.phase !== 'preparing') return;
    this.promises.set(vote.nodeId, { vote, memory });
    const votes = [...this.promises.values()].map((promise) => promise.vote);
    if (!hasMajority(votes, this.old, this.rule)) return;
    this.chosen = this.findAccepted()?.successor ?? this.chosen;
    this.phase = 'accepting';
  }

  private onAccepted(vote: Vote): void {
    if (this.phase !== 'accepting') return;
    this.acceptances.set(vote.nodeId, vote);
    if (hasMajority([...this.acceptances.values()], this.old, this.rule)) this.phase = 'decided';
  }

  private findAccepted(): AcceptedSuccessor | undefined {
    let highest: AcceptedSuccessor | undefined;
    for (const { memory } of this.promises.values()) {
      if (memory.accepted === undefined) continue;
      if (isBelow(highest?.ballot, memory.accepted.ballot)) highest = memory.accepted;
    }
    return highest;
  }
}

/** Requests to a claim replica and its replies. */
import type { HttpAnswer } from '../http-message.js';
import type { BudgetCharge } from './attempt-budgets.js';
import type { ClaimSubject, TableSnapshot } from './claim-table.js';
import type { PlacementRecord, Vote } from './placement.js';

/** Number of a proposal for the next epoch; unique per proposer and totally ordered. */
export interface Ballot {
  readonly round: number;
  readonly nodeId: string;
}

/** The successor that a replica has accepted last. */
export interface AcceptedSuccessor {
  readonly ballot: Ballot;
  readonly successor: PlacementRecord;
}

/** Requests a key. */
export interface ClaimMessage {
  readonly type: 'claim';
  readonly epoch: number;
  readonly subject: ClaimSubject;
}

/** Releases a key; the attempt is never dispatched afterwards. */
export interface ReleaseMessage {
  readonly type: 'release';
  /** The sender's newest epoch; only a replica that votes in it confirms. */
  readonly epoch: number;
  readonly key: string;
  readonly attemptId: string;
}

/** Reports that a dispatched attempt has ended; without an answer its outcome stays unknown. */
export interface FinishMessage {
  readonly type: 'finish';
  /** The sender's newest epoch; only a replica that votes in it confirms. */
  readonly epoch: number;
  readonly subject: ClaimSubject;
  readonly answer?: HttpAnswer;
}

/** Requests attempts of a request id. */
export interface ChargeMessage {
  readonly type: 'charge';
  readonly epoch: number;
  readonly charge: BudgetCharge;
}

/** Returns slots that the charge does not use. */
export interface ReturnSlotsMessage {
  readonly type: 'give-back';
  /** The sender's newest epoch; only a replica that votes in it confirms. */
  readonly epoch: number;
  readonly key: string;
  readonly chargeId: string;
  readonly unused: readonly number[];
}

/** Reads the tables of another replica; sent by a recovering or pending one. */
export interface RecoverMessage {
  readonly type: 'recover';
  readonly epoch: number;
  readonly nodeId: string;
  readonly incarnation: number;
}

/** First phase of a change of epoch: stops votes and reads the tables. */
export interface PrepareMessage {
  readonly type: 'prepare';
  readonly epoch: number;
  readonly ballot: Ballot;
}

/** Second phase of a change of epoch: agrees on the next record. */
export interface AcceptMessage {
  readonly type: 'accept';
  readonly epoch: number;
  readonly ballot: Ballot;
  readonly successor: PlacementRecord;
}

/** Starts a member of an agreed record with the tables of the previous epoch. */
export interface InstallMessage {
  readonly type: 'install';
  readonly record: PlacementRecord;
  readonly table: TableSnapshot;
}

/** Announces that a majority of a record's members has been started. */
export interface EstablishMessage {
  readonly type: 'establish';
  readonly record: PlacementRecord;
}

/** Queries incarnation, status and the newest established record. */
export interface StatusMessage {
  readonly type: 'status';
}

/** Messages that every replica of a key should receive. */
export type DeliveredMessage = ReleaseMessage | FinishMessage | ReturnSlotsMessage;

/** Every request to a replica. */
export type ReplicaRequest =
  | ClaimMessage
  | ReleaseMessage
  | FinishMessage
  | ChargeMessage
  | ReturnSlotsMessage
  | RecoverMessage
  | PrepareMessage
  | AcceptMessage
  | InstallMessage
  | EstablishMessage
  | StatusMessage;

/**
 * What a replica does: `idle` (not a member), `pending` (member, tables not yet installed),
 * `recovering` (restarted, reads the others' tables), `voting`, `sealed` (stopped voting, for the
 * next epoch).
 */
export type ReplicaStatus = 'idle' | 'pending' | 'recovering' | 'voting' | 'sealed';

/** State that a replica must not lose, as read by another one. */
export interface ReplicaMemory {
  readonly table: TableSnapshot;
  readonly promised?: Ballot;
  readonly accepted?: AcceptedSuccessor;
}

/** Every reply of a replica. */
export type ReplicaReply =
  /** This replica grants the key to the attempt. */
  | { readonly type: 'granted'; readonly vote: Vote }
  /** Another attempt holds the key, or tables conflict (`attemptId` empty). */
  | { readonly type: 'held'; readonly attemptId: string }
  /** An attempt was dispatched and has ended. */
  | { readonly type: 'finished'; readonly attemptId: string; readonly answer?: HttpAnswer }
  /** The key was used with another fingerprint. */
  | { readonly type: 'reused' }
  /** The key is older than the horizon or the group's floor. */
  | { readonly type: 'expired' }
  /** The table is full. */
  | { readonly type: 'full' }
  | { readonly type: 'charged'; readonly vote: Vote; readonly slots: readonly number[] }
  /** The replica does not vote now; carries its newest established record, if any. */
  | { readonly type: 'not-voting'; readonly record?: PlacementRecord }
  | { readonly type: 'recovered'; readonly vote: Vote; readonly memory: ReplicaMemory }
  | { readonly type: 'promised'; readonly vote: Vote; readonly memory: ReplicaMemory }
  | { readonly type: 'accepted'; readonly vote: Vote }
  /** A higher ballot was promised. */
  | { readonly type: 'rejected'; readonly promised: Ballot }
  | { readonly type: 'done' }
  | {
      readonly type: 'status';
      readonly incarnation: number;
      readonly status: ReplicaStatus;
      /** False once the node's planned stop has begun. */
      readonly willing: boolean;
      readonly record?: PlacementRecord;
    };

/** Whether the left ballot is below the right one; no ballot is below every ballot. */
export function isBelow(left: Ballot | undefined, right: Ballot): boolean {
  if (left === undefined) return true;
  if (left.round !== right.round) return left.round < right.round;
  return left.nodeId < right.nodeId;
}

/**
 * Calls to the node that holds the ledger of a running attempt, made by the node that a back
 * end sent its next call to.
 */
import type { Criticality } from '../core/request.js';

/** Asks for attempts for a call of `service`, and for the context that the call inherits. */
export interface ReserveAttemptsMessage {
  readonly parentAttemptId: string;
  /** Service that is called. */
  readonly service: string;
  /** Bound of the called kind. */
  readonly kindAttempts: number;
}

/** What a call below a running attempt inherits. Durations instead of times: clocks differ. */
export interface ReserveAttemptsReply {
  /** Whether the parent attempt runs here; otherwise the other members say nothing. */
  readonly found: boolean;
  readonly granted: number;
  readonly requestId: string;
  readonly tenant: string;
  readonly criticality: Criticality;
  readonly depth: number;
  readonly deadlineInMs: number;
}

/** Gives back attempts that were reserved and not used, and tells the threshold seen below. */
export interface ReturnAttemptsMessage {
  readonly parentAttemptId: string;
  readonly unused: number;
  readonly service: string;
  /** Admission threshold of the called service, 0 to 1. */
  readonly threshold: number;
}

/** Acknowledges the return. */
export interface ReturnAttemptsReply {
  readonly taken: boolean;
}

/** Request and reply type of each ledger call. */
export interface AttemptLedgerCalls {
  reserveAttempts: { request: ReserveAttemptsMessage; reply: ReserveAttemptsReply };
  returnAttempts: { request: ReturnAttemptsMessage; reply: ReturnAttemptsReply };
}

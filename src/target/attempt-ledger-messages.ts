/**
 * Calls to the node that holds the ledger of a running attempt, made by the node to which a back
 * end sent its next call.
 */
import type { Criticality } from '../core/request.js';

/** Requests attempts for a call to `service`, and the context that the call inherits. */
export interface ReserveAttemptsMessage {
  readonly parentAttemptId: string;
  /** Service that is called. */
  readonly service: string;
  /** Attempt bound of the called kind. */
  readonly kindAttempts: number;
}

/** Context that a call inherits. Contains durations instead of times, because clocks differ. */
export interface ReserveAttemptsReply {
  /** Whether the parent attempt runs here; if not, the other members have no meaning. */
  readonly found: boolean;
  readonly granted: number;
  readonly requestId: string;
  readonly tenant: string;
  readonly criticality: Criticality;
  readonly depth: number;
  readonly deadlineInMs: number;
}

/** Returns attempts that were reserved and not used, and reports the threshold seen below. */
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

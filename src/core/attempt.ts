/** One attempt of a call at one target: what the entry side sends and receives. */
import type { Failure } from './failure.js';
import type { HttpAnswer, HttpRequest } from './http-message.js';
import type { AttemptOutcome, LoadReport, RequestContext } from './request.js';

/** An attempt as sent to the target's fronting node. */
export interface TargetAttempt {
  /** Unique across all nodes and over time; parent of the calls made below it. */
  readonly attemptId: string;
  readonly target: string;
  readonly context: RequestContext;
  readonly request: HttpRequest;
  /** Attempts granted to this one and everything below it, itself included; at least 1. */
  readonly attemptsGranted: number;
  /**
   * Local monotonic time after which a non-idempotent attempt may not be dispatched;
   * absent for idempotent ones.
   */
  readonly notAfter?: number;
}

/** Result of an attempt; each attempt has exactly one. */
export type AttemptResult = AttemptAnswer | AttemptFailure;

interface AttemptEnd {
  /** Attempts spent, this one included when it was dispatched. */
  readonly attemptsUsed: number;
  readonly outcome: AttemptOutcome;
  /** Load of the target, when its node answered. */
  readonly load?: LoadReport;
}

/** A complete answer of the target, whatever its status. */
export interface AttemptAnswer extends AttemptEnd {
  readonly type: 'answer';
  readonly answer: HttpAnswer;
}

/** No complete answer; `failure.execution` says what may have happened. */
export interface AttemptFailure extends AttemptEnd {
  readonly type: 'failure';
  readonly failure: Failure;
}

/** The target side of a node: admission to the targets that it fronts, and calls to them. */
import type { AttemptResult, TargetAttempt } from '../core/attempt.js';

/** Dispatches attempts to back ends that this node fronts. */
export interface TargetDispatcher {
  /**
   * Admits and dispatches an attempt, and waits for the complete answer.
   *
   * @param attempt deadline and notAfter in local monotonic time
   * @param signal aborts when the caller goes away; this cancels a dispatched back-end call
   * @returns exactly one result; never rejects
   */
  dispatch(attempt: TargetAttempt, signal: AbortSignal): Promise<AttemptResult>;
  /** Attempts that wait or run now, over all targets. */
  readonly inProgress: number;
  /**
   * Reserves attempts in the ledger of a running attempt, for a call that its back end makes.
   *
   * @returns the attempts that the call may use, at most `wanted`; 0 when none are left or the
   * parent is unknown or has ended
   */
  reserveAttempts(parentAttemptId: string, wanted: number): number;
  /** Returns attempts that a call below `parentAttemptId` reserved and did not use. */
  returnAttempts(parentAttemptId: string, unused: number): void;
  /** Context of a running attempt, for the calls made below it. */
  findParent(parentAttemptId: string): ParentAttempt | undefined;
  /** Reports the admission threshold seen while calling `service` below a target. */
  noteDownstream(parentAttemptId: string, service: string, threshold: number): void;
}

/** What the calls below a running attempt inherit. */
export interface ParentAttempt {
  readonly attempt: TargetAttempt;
  readonly attemptsLeft: number;
}

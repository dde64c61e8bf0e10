/** The target side of a node: admission before the targets that it fronts, and the calls to them. */
import type { AttemptResult, TargetAttempt } from '../core/attempt.js';

/** Dispatches attempts to back ends that this node fronts. */
export interface TargetDispatcher {
  /**
   * Admits, dispatches and awaits the complete answer.
   *
   * @param attempt deadline and notAfter in local monotonic time
   * @param signal aborts when the caller went away; a dispatched back-end call is cancelled
   * @returns exactly one result; never rejects
   */
  dispatch(attempt: TargetAttempt, signal: AbortSignal): Promise<AttemptResult>;
  /** Attempts being dispatched or waiting now, over all targets. */
  readonly inProgress: number;
  /**
   * Charges attempts to the ledger of a running attempt (a call of the back end one level down).
   *
   * @returns the attempts that the call may use, at most `wanted`; 0 when none are left or the
   * parent is unknown or has ended
   */
  reserveAttempts(parentAttemptId: string, wanted: number): number;
  /** Gives back what a call below `parentAttemptId` has reserved and not used. */
  returnAttempts(parentAttemptId: string, unused: number): void;
  /** Context of a running attempt, for the calls made below it. */
  findParent(parentAttemptId: string): ParentAttempt | undefined;
  /** Reports the admission threshold seen while calling `service` below a target. */
  noteDownstream(parentAttemptId: string, service: string, threshold: number): void;
}

/** A running attempt as the calls below it inherit it. */
export interface ParentAttempt {
  readonly attempt: TargetAttempt;
  readonly attemptsLeft: number;
}

/** Messages of the task that owns one target. */
import type { AttemptResult, TargetAttempt } from '../core/attempt.js';
import type { BackendResult } from './backend-client.js';
import type { HealthState } from './leaving-signs.js';

/** An attempt that requests admission; `resolve` is called exactly once. */
export interface OfferMessage {
  readonly type: 'offer';
  readonly attempt: TargetAttempt;
  readonly maxAnswerBytes: number;
  readonly signal: AbortSignal;
  readonly resolve: (result: AttemptResult) => void;
}

/** A call below an attempt at this target saw an admission threshold. */
export interface DownstreamMessage {
  readonly type: 'downstream';
  /** Service that was called. */
  readonly service: string;
  readonly threshold: number;
  /** Kind of the attempt at this target. */
  readonly kind: string;
}

/** Messages of a target task. */
export type TargetMessage =
  | OfferMessage
  /** The back-end call of a ticket ended. */
  | { readonly type: 'ended'; readonly ticket: number; readonly result: BackendResult }
  /** The caller of a ticket went away. */
  | { readonly type: 'cancelled'; readonly ticket: number }
  /** The gate's timer has fired. */
  | { readonly type: 'timer' }
  /** A health poll ended. */
  | { readonly type: 'health'; readonly state: HealthState }
  /** An operator drains the target, or ends the drain. */
  | { readonly type: 'operator-drain'; readonly drained: boolean }
  /** Another node or the list of machines shows the target as leaving, or not. */
  | { readonly type: 'reported-leaving'; readonly leaving: boolean }
  | DownstreamMessage
  /** The target is no longer placed here: finish what runs, then close. */
  | { readonly type: 'retire' };

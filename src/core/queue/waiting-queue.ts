/** Interface of the queues in which requests wait for a slot of their target. */
import type { RequestContext } from '../request.js';

/** One waiting request. */
export interface WaitingRequest {
  readonly ticket: number;
  readonly request: RequestContext;
  readonly enqueuedAt: number;
}

/** Order of waiting requests; holds no policy about refusals. */
export interface WaitingQueue {
  readonly length: number;
  add(waiting: WaitingRequest): void;
  /** Removes and returns the request to dispatch next. */
  takeNext(): WaitingRequest | undefined;
  /** Removes one request; `undefined` when it does not wait. */
  remove(ticket: number): WaitingRequest | undefined;
  /** Removes every request whose deadline is at or before `now`. */
  takeExpired(now: number): readonly WaitingRequest[];
  /** Earliest deadline of a waiting request. */
  earliestDeadline(): number | undefined;
}

/** Interface of the queues in which requests wait for a slot of their target. */
import type { RequestContext } from '../request.js';

/** One waiting request. */
export interface WaitingRequest {
  readonly ticket: number;
  readonly request: RequestContext;
  /** Admission priority; the lowest is refused first when the queue is full. */
  readonly priority: number;
  /** Expected service time, in milliseconds. */
  readonly serviceMs: number;
  /** Latest useful start: the request is refused when it still waits then. */
  readonly giveUpAt: number;
}

/** Orders waiting requests; the gate decides when to refuse them. */
export interface WaitingQueue {
  readonly length: number;
  add(waiting: WaitingRequest): void;
  /** Removes and returns the request to dispatch next. */
  takeNext(now: number): WaitingRequest | undefined;
  /** Removes and returns the request to refuse when the queue is too long. */
  takeLowest(): WaitingRequest | undefined;
  /** Removes one request; `undefined` when it does not wait. */
  remove(ticket: number): WaitingRequest | undefined;
  /** Removes every request whose `giveUpAt` is at or before `now`. */
  takeExpired(now: number): readonly WaitingRequest[];
  /** Earliest `giveUpAt` of a waiting request. */
  earliestGiveUp(): number | undefined;
  /** Waiting requests that would be dispatched before a new one. */
  countAhead(waiting: WaitingRequest): number;
}

/**
 * Interface of the disciplines by which a gate lets requests wait for a slot: which ones may wait, in
 * which order they start, and which ones are refused.
 */
import type { ResultCode } from '../result-code.js';
import type { WaitingRequest } from './waiting-queue.js';

/** Largest bound of a queue's length per slot, whatever the service time. */
export const MAX_QUEUED_PER_SLOT = 50;

/** State of the gate that a discipline reads. */
export interface GateSlots {
  /** Present concurrency limit. */
  readonly limit: number;
  readonly inFlight: number;
  /** The gate's own admission threshold. */
  readonly threshold: number;
}

/** A request that is refused for load. */
export interface Rejection {
  readonly waiting: WaitingRequest;
  readonly code: ResultCode;
}

/** Wait in the queue, as the controller of the admission threshold sees it. */
export interface QueueWait {
  /** Slots that the controller may fill. */
  readonly slots: number;
  /** Expected wait of a request at the end of the queue, in milliseconds. */
  readonly expectedWaitMs: number;
  /** Standing wait that engages the threshold, in milliseconds; absent: the controller's own. */
  readonly engageWaitMs?: number;
}

/** Decides which requests wait and in which order; the gate dispatches and refuses them. */
export interface QueueDiscipline {
  readonly length: number;
  /** Expected service time of a kind, in milliseconds; undefined before its first sample. */
  serviceMs(now: number, kind: string): number | undefined;
  /** Learns the service time of a request that was answered. */
  noteServed(now: number, kind: string, latencyMs: number): void;
  /** Counts an offered request. */
  noteOffered(now: number, waiting: WaitingRequest): void;
  /** Decides whether an arriving request may wait or start; otherwise returns the code of its refusal. */
  refusalOnArrival(now: number, waiting: WaitingRequest): ResultCode | undefined;
  /**
   * Adds an admitted request.
   *
   * @returns requests that are refused in its favour, or itself; when there are any, it does not start now
   */
  add(now: number, waiting: WaitingRequest): readonly Rejection[];
  /** Removes and returns the request to start now; undefined: none waits, or no slot is free for it. */
  takeNext(now: number): WaitingRequest | undefined;
  /** Whether {@link takeNext} would return a request. */
  hasStartable(now: number): boolean;
  /** Removes and returns the request to refuse first. */
  takeLowest(): WaitingRequest | undefined;
  /** Removes and returns requests above the bound of the queue's length. */
  takeExcess(now: number): readonly Rejection[];
  /** Removes one request; undefined when it does not wait. */
  remove(ticket: number): WaitingRequest | undefined;
  /** Removes and returns every request whose `giveUpAt` is at or before `now`. */
  takeExpired(now: number): readonly WaitingRequest[];
  /** Time of the next needed {@link takeExpired}; may be early. */
  earliestGiveUp(): number | undefined;
  /** Waiting requests that would start before a new one. */
  countAhead(now: number, waiting: WaitingRequest): number;
  /** Wait of the queue; `queued` requests of it wait for slots. */
  waitOf(now: number, queued: number): QueueWait;
}

/** Whether a request has a lower priority than the threshold. */
export function isBelow({ priority }: WaitingRequest, threshold: number): boolean {
  return priority < threshold;
}

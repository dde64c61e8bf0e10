/** Interface of the controllers that set a gate's own admission threshold. */

/** State of a gate, passed to its controller at each update. */
export interface GateState {
  /** Concurrency limit. */
  readonly limit: number;
  readonly inFlight: number;
  readonly queued: number;
  /** Expected wait of a request at the end of the queue, in milliseconds. */
  readonly expectedWaitMs: number;
  /** Standing wait that engages the threshold, in milliseconds; absent: the controller's own. */
  readonly engageWaitMs?: number;
}

/** Computes the admission threshold of one gate. */
export interface ThresholdController {
  /**
   * Counts an offered request, admitted or not.
   *
   * @param priority its admission priority
   * @param workMs slot time that it is expected to take
   */
  noteOffered(now: number, priority: number, workMs: number): void;
  /** Counts a refusal for load at this gate. */
  noteRefused(now: number): void;
  /** Updates the threshold when an interval has ended; otherwise cheap. */
  update(now: number, state: GateState): void;
  /** Requests with a lower priority are to be refused; 0 refuses none. */
  readonly threshold: number;
}

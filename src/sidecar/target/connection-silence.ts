/**
 * Recognizes that open connections to the target may have gone silent: requests wait for their answers and
 * nothing has been received on any connection for some time. A target that is only slow looks the same for a
 * moment, which then costs new connections and no request.
 */

/** Time without anything received while a request waits, in milliseconds. */
const SILENT_AFTER_MS = 300;

/** Silence of all connections to one target; all times are of the local monotonic clock, in milliseconds. */
export class ConnectionSilence {
  /** Requests without an answer, in the order in which they were sent, with their times. */
  private readonly waiting = new Map<object, number>();
  private lastReceivedAt = -Infinity;

  /** Called when a request was written to a connection. */
  noteSent(request: object, now: number): void {
    this.waiting.set(request, now);
  }

  /** Called when anything was received. */
  noteReceived(now: number): void {
    this.lastReceivedAt = now;
  }

  /** Called when a request has ended, whatever the reason. */
  noteEnded(request: object): void {
    this.waiting.delete(request);
  }

  /** Whether idle connections may be silent, so that a request needs a new one. */
  isSuspected(now: number): boolean {
    const [oldestSentAt] = this.waiting.values();
    if (oldestSentAt === undefined) return false;
    return now - Math.max(oldestSentAt, this.lastReceivedAt) >= SILENT_AFTER_MS;
  }
}

/**
 * Decides whether the other end of a connection still responds, from the times of messages and pings. A
 * connection can go silent without a reset, so that only a ping without a reply shows it.
 */

/**
 * Idle time, while an answer is pending, after which the other node is pinged. Idle time before the
 * call does not count, since most links of a large fleet are rarely used.
 */
export const PING_AFTER_MS = 250;
/** Idle time after which the other node is pinged although no answer is pending. */
const IDLE_PING_AFTER_MS = 30_000;
/** Time after a ping without any message at which the other node counts as unresponsive. */
const UNRESPONSIVE_AFTER_MS = 350;
/** Time after a ping without any message at which the connection is closed. */
export const CLOSE_AFTER_MS = 4_000;
/** Interval of the checks while a ping is pending. */
const CHECK_INTERVAL_MS = 125;

/** Result of a check, and the time until the next one. */
export interface LivenessCheck {
  /** `ping-due`: send a ping. `unresponsive`: no reply for some time. `lost`: close the connection. */
  readonly state: 'responsive' | 'ping-due' | 'unresponsive' | 'lost';
  readonly nextCheckMs: number;
}

/** Liveness of one connection; all times are of the local monotonic clock, in milliseconds. */
export class ConnectionLiveness {
  private pingedAt: number | undefined;

  constructor(private lastReceivedAt: number) {}

  /** Whether a ping has no reply yet. */
  get isPinged(): boolean {
    return this.pingedAt !== undefined;
  }

  /** Time since the last message. */
  silentMs(now: number): number {
    return now - this.lastReceivedAt;
  }

  noteReceived(now: number): void {
    this.lastReceivedAt = now;
    this.pingedAt = undefined;
  }

  notePinged(now: number): void {
    this.pingedAt ??= now;
  }

  /**
   * @param dueAt time for which this check was scheduled
   * @param pendingSince time since which an answer is pending; undefined: none is
   */
  check(now: number, dueAt: number, pendingSince: number | undefined): LivenessCheck {
    // A stalled process checks late, and before it has read what arrived in the meantime.
    const stalledMs = now - dueAt;
    if (this.pingedAt !== undefined && stalledMs > CHECK_INTERVAL_MS) this.pingedAt += stalledMs;
    if (this.pingedAt !== undefined) {
      const waitedMs = now - this.pingedAt;
      const state =
        waitedMs > CLOSE_AFTER_MS
          ? 'lost'
          : waitedMs > UNRESPONSIVE_AFTER_MS
            ? 'unresponsive'
            : 'responsive';
      return { state, nextCheckMs: CHECK_INTERVAL_MS };
    }
    const idleSince = Math.max(this.lastReceivedAt, pendingSince ?? 0);
    const limitMs = pendingSince === undefined ? IDLE_PING_AFTER_MS : PING_AFTER_MS;
    const leftMs = limitMs - (now - idleSince);
    return leftMs > 0
      ? { state: 'responsive', nextCheckMs: leftMs }
      : { state: 'ping-due', nextCheckMs: CHECK_INTERVAL_MS };
  }
}

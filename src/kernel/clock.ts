/** Clocks: the system's, and one that tests and the emulator advance by hand. */
import { BootTime } from './boot-time.js';

/** Cancels a pending timer; does nothing when it has fired. */
export type CancelTimer = () => void;

/** Source of time and timers. */
export interface Clock {
  /** Monotonic milliseconds with fraction; the zero point is arbitrary. */
  now(): number;
  /** Milliseconds since the Unix epoch; for time stamps only, never for ordering. */
  wallNow(): number;
  /** Monotonic milliseconds that include the time for which the machine was suspended. */
  bootNow(): number;
  /** Calls `callback` once after `delayMs`; the system's clock after 24.8 days at the latest. */
  schedule(delayMs: number, callback: () => void): CancelTimer;
}

/** Longest delay that the runtime accepts, in milliseconds; longer ones would fire at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

const bootTime = new BootTime(
  () => performance.now(),
  () => Date.now(),
);

export const systemClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
  bootNow: () => bootTime.now(),
  schedule: (delayMs, callback) => {
    const timer = setTimeout(callback, Math.min(delayMs, MAX_TIMER_MS));
    return () => {
      clearTimeout(timer);
    };
  },
};

interface PendingTimer {
  readonly at: number;
  readonly order: number;
  readonly callback: () => void;
}

/** A clock that its caller moves; timers fire in order of time, then of creation. */
export class ManualClock implements Clock {
  private current = 0;
  private suspendedMs = 0;
  private created = 0;
  private readonly pending = new Set<PendingTimer>();

  now(): number {
    return this.current;
  }

  wallNow(): number {
    return this.current + this.suspendedMs;
  }

  bootNow(): number {
    return this.current + this.suspendedMs;
  }

  /** Simulates a suspension of the machine, during which timers make no progress. */
  suspend(milliseconds: number): void {
    this.suspendedMs += milliseconds;
  }

  schedule(delayMs: number, callback: () => void): CancelTimer {
    this.created += 1;
    const at = this.current + Math.max(0, delayMs);
    const timer: PendingTimer = { at, order: this.created, callback };
    this.pending.add(timer);
    return () => {
      this.pending.delete(timer);
    };
  }

  /** Moves time forward and fires every timer that expires, in order. */
  advance(milliseconds: number): void {
    const end = this.current + milliseconds;
    for (let next = this.findEarliest(end); next !== undefined; next = this.findEarliest(end)) {
      this.pending.delete(next);
      this.current = next.at;
      next.callback();
    }
    this.current = end;
  }

  private findEarliest(end: number): PendingTimer | undefined {
    let found: PendingTimer | undefined;
    for (const timer of this.pending) {
      if (timer.at > end) continue;
      const sooner =
        found === undefined ||
        timer.at < found.at ||
        (timer.at === found.at && timer.order < found.order);
      if (sooner) found = timer;
    }
    return found;
  }
}

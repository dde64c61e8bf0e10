/** How late this process runs its callbacks, so that its own delays are not taken for a target's. */
import type { CancelTimer, Clock } from './clock.js';

/** Interval of the timer whose lateness is measured, in milliseconds. */
const SAMPLE_INTERVAL_MS = 50;
/** Length of one of the two windows over which the longest delay is kept, in milliseconds. */
const WINDOW_MS = 1_000;

/** Samples the delay of the event loop. */
export class EventLoopDelay {
  private dueAt = Infinity;
  private windowStart = 0;
  private longestMs = 0;
  private longestBeforeMs = 0;
  private cancelTimer: CancelTimer = () => {};

  constructor(private readonly clock: Clock) {}

  /** Begins to sample. */
  start(): void {
    this.windowStart = this.clock.now();
    this.schedule();
  }

  /** Ends sampling. */
  stop(): void {
    this.cancelTimer();
    this.dueAt = Infinity;
  }

  /** Longest delay of the last one to two seconds, in milliseconds. */
  recentMs(): number {
    return Math.max(this.longestMs, this.longestBeforeMs, this.currentMs());
  }

  /** Time by which the sample that is due now is late, in milliseconds. */
  private currentMs(): number {
    return Math.max(0, this.clock.now() - this.dueAt);
  }

  private schedule(): void {
    this.dueAt = this.clock.now() + SAMPLE_INTERVAL_MS;
    this.cancelTimer = this.clock.schedule(SAMPLE_INTERVAL_MS, () => {
      this.sample();
    });
  }

  private sample(): void {
    const now = this.clock.now();
    if (now - this.windowStart >= WINDOW_MS) {
      this.longestBeforeMs = this.longestMs;
      this.longestMs = 0;
      this.windowStart = now;
    }
    this.longestMs = Math.max(this.longestMs, this.currentMs());
    this.schedule();
  }
}

/** Measures event loop delay, so that this process's own delays are not attributed to targets. */
import type { CancelTimer, Clock } from './clock.js';

/** Interval of the timer whose lateness is measured. */
const SAMPLE_INTERVAL_MS = 50;
/** Length of each of the two windows whose longest delays are kept. */
const WINDOW_MS = 1_000;

export class EventLoopDelay {
  private dueAt = Infinity;
  private windowStart = 0;
  private longestMs = 0;
  private previousLongestMs = 0;
  private cancelTimer: CancelTimer = () => {};

  /** @param onWindow called after each second with its longest delay, in milliseconds */
  constructor(
    private readonly clock: Clock,
    private readonly onWindow: (longestMs: number) => void = () => {},
  ) {}

  start(): void {
    this.windowStart = this.clock.now();
    this.schedule();
  }

  stop(): void {
    this.cancelTimer();
    this.dueAt = Infinity;
  }

  /** Longest delay of the last one to two seconds, the overdue sample included. */
  recentMs(): number {
    return Math.max(this.longestMs, this.previousLongestMs, this.currentMs());
  }

  /** Time for which the next sample is overdue; 0 before it is due. */
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
      this.onWindow(this.longestMs);
      this.previousLongestMs = this.longestMs;
      this.longestMs = 0;
      this.windowStart = now;
    }
    this.longestMs = Math.max(this.longestMs, this.currentMs());
    this.schedule();
  }
}

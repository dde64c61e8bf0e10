/** Calls a function that may be requested often: at once, and then at most once per interval. */
import type { CancelTimer, Clock } from '../kernel/clock.js';

export class CoalescedCall {
  private lastRun = Number.NEGATIVE_INFINITY;
  private pending: CancelTimer | undefined;

  /** @param intervalMs shortest time between two runs */
  constructor(
    private readonly clock: Clock,
    private readonly intervalMs: number,
    private readonly run: () => void,
  ) {}

  /** Requests a run, now or at the end of the current interval. */
  request(): void {
    if (this.pending !== undefined) return;
    const wait = this.lastRun + this.intervalMs - this.clock.now();
    if (wait <= 0) {
      this.runNow();
      return;
    }
    this.pending = this.clock.schedule(wait, () => {
      this.pending = undefined;
      this.runNow();
    });
  }

  /** Cancels a pending run. */
  cancel(): void {
    this.pending?.();
    this.pending = undefined;
  }

  private runNow(): void {
    this.lastRun = this.clock.now();
    this.run();
  }
}

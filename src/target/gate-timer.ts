/** The single timer of a gate. */
import type { CancelTimer, Clock } from '../kernel/clock.js';

/** Reschedules only when the gate requests another time. */
export class GateTimer {
  private armedFor: number | undefined;
  private cancelTimer: CancelTimer = () => {};

  constructor(
    private readonly clock: Clock,
    private readonly onTimer: () => void,
  ) {}

  /** @param next time that the gate requests, if any */
  arm(next: number | undefined): void {
    if (next === this.armedFor) return;
    this.cancel();
    this.armedFor = next;
    if (next === undefined) return;
    this.cancelTimer = this.clock.schedule(Math.max(0, next - this.clock.now()), () => {
      this.armedFor = undefined;
      this.onTimer();
    });
  }

  cancel(): void {
    this.cancelTimer();
    this.armedFor = undefined;
  }
}

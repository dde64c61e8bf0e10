/** The one timer that a gate asks for. */
import type { CancelTimer, Clock } from '../kernel/clock.js';

/** Set anew only when the gate asks for another time. */
export class GateTimer {
  private armedFor: number | undefined;
  private cancelTimer: CancelTimer = () => {};

  constructor(
    private readonly clock: Clock,
    private readonly onTimer: () => void,
  ) {}

  /** @param next time that the gate asks for, if any */
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

/**
 * Admission threshold that is stepped by the queueing time, as in DAGOR (SoCC 2018): the
 * admitted load falls by the share `alpha` in each interval with a high queueing time and
 * rises by the share `beta` in all others. For comparison with {@link OfferedLoadController}.
 */
import { OfferedLoad } from './offered-load.js';
import type { GateState, ThresholdController } from './threshold-controller.js';

export interface DagorOptions {
  /** Length of an interval, in milliseconds. */
  readonly intervalMs: number;
  /** Queueing time that counts as overload, in milliseconds. */
  readonly overloadWaitMs: number;
  /** Share by which the admitted load falls under overload. */
  readonly alpha: number;
  /** Share of the admitted load by which it rises otherwise. */
  readonly beta: number;
}

/** Values of the paper, but with an interval short enough to recover within a second. */
export const DEFAULT_DAGOR_OPTIONS: DagorOptions = {
  intervalMs: 20,
  overloadWaitMs: 20,
  alpha: 0.05,
  beta: 0.01,
};

const SMOOTHING_MS = 150;
const RETENTION_MS = 2_000;

/** Stepwise admission threshold of one gate. */
export class DagorController implements ThresholdController {
  threshold = 0;
  private readonly load = new OfferedLoad();
  private admitted = Infinity;
  private intervalStart: number | undefined;

  constructor(private readonly options: DagorOptions = DEFAULT_DAGOR_OPTIONS) {}

  noteOffered(_now: number, priority: number, workMs: number): void {
    this.load.add(priority, workMs);
  }

  noteRefused(): void {}

  update(now: number, state: GateState): void {
    this.intervalStart ??= now;
    const elapsed = now - this.intervalStart;
    if (elapsed < this.options.intervalMs) return;
    this.intervalStart = now;
    this.load.endInterval(elapsed, this.threshold, SMOOTHING_MS, RETENTION_MS);
    this.step(state);
    this.threshold = this.load.thresholdFor(this.admitted);
  }

  private step(state: GateState): void {
    const total = this.load.total();
    const { overloadWaitMs, alpha, beta } = this.options;
    if (state.expectedWaitMs > overloadWaitMs) {
      this.admitted = Math.min(this.admitted, total) * (1 - alpha);
    } else {
      this.admitted += beta * total;
    }
    this.admitted = Math.max(1, this.admitted);
  }
}

/**
 * Sets the admission threshold from the offered load, so that the load above the threshold
 * just fills the slots. The threshold is computed from scratch at each interval, not stepped,
 * so it neither winds up during the delay of the call chain nor needs many steps to come down.
 *
 * It engages on a standing queue (the lowest wait of an interval is above a bound, as in
 * CoDel) that lasts or comes with refusals, never on a burst that the queue absorbs.
 *
 * @see docs/design/overload-control.md
 */
import { OfferedLoad } from './offered-load.js';
import type { GateState, ThresholdController } from './threshold-controller.js';

export interface OfferedLoadOptions {
  /** Length of a control interval, in milliseconds. */
  readonly intervalMs: number;
  /** Time constant of the offered load, in milliseconds. */
  readonly smoothingMs: number;
  /** Time constant of the decay of refused load, in milliseconds. */
  readonly retentionMs: number;
  /** Time constant of the decay of refused load while slots are idle, in milliseconds. */
  readonly idleRetentionMs: number;
  /** Standing wait that engages the threshold, in milliseconds. */
  readonly engageWaitMs: number;
  /** Time for which the wait must last before it engages without refusals, in milliseconds. */
  readonly engageAfterMs: number;
  /** Waiting requests per slot at which exactly the capacity is admitted. */
  readonly queuePerSlot: number;
  /** Decrease of the admitted load per waiting request above that number, in slots. */
  readonly queueGain: number;
}

export const DEFAULT_OFFERED_LOAD_OPTIONS: OfferedLoadOptions = {
  intervalMs: 20,
  smoothingMs: 150,
  retentionMs: 2_000,
  idleRetentionMs: 60,
  engageWaitMs: 25,
  engageAfterMs: 60,
  queuePerSlot: 0.5,
  queueGain: 0.3,
};

const LOWEST_ADMITTED_SHARE = 0.7;
const HIGHEST_ADMITTED_SHARE = 1.1;

/** Model-based admission threshold of one gate. */
export class OfferedLoadController implements ThresholdController {
  threshold = 0;
  private readonly load = new OfferedLoad();
  private intervalStart: number | undefined;
  private lowestWaitMs = Infinity;
  private maxIdleSlots = 0;
  private refused = 0;
  private standingWaitSince: number | undefined;

  constructor(private readonly options: OfferedLoadOptions = DEFAULT_OFFERED_LOAD_OPTIONS) {}

  noteOffered(_now: number, priority: number, workMs: number): void {
    this.load.add(priority, workMs);
  }

  noteRefused(): void {
    this.refused += 1;
  }

  update(now: number, state: GateState): void {
    this.lowestWaitMs = Math.min(this.lowestWaitMs, state.expectedWaitMs);
    this.maxIdleSlots = Math.max(this.maxIdleSlots, state.limit - state.inFlight);
    this.intervalStart ??= now;
    const elapsed = now - this.intervalStart;
    if (elapsed < this.options.intervalMs) return;
    this.endInterval(now, elapsed, state);
  }

  private endInterval(now: number, elapsed: number, state: GateState): void {
    const { smoothingMs, retentionMs, idleRetentionMs } = this.options;
    const idle = state.queued === 0 && this.maxIdleSlots > 0;
    const retention = idle ? idleRetentionMs : retentionMs;
    this.load.endInterval(elapsed, this.threshold, smoothingMs, retention);
    this.threshold = this.isEngaged(now, state) ? this.computeThreshold(state) : 0;
    this.intervalStart = now;
    this.lowestWaitMs = state.expectedWaitMs;
    this.maxIdleSlots = state.limit - state.inFlight;
    this.refused = 0;
  }

  private isEngaged(now: number, state: GateState): boolean {
    if (this.threshold > 0) return true;
    const { engageWaitMs, engageAfterMs } = this.options;
    if (this.lowestWaitMs < (state.engageWaitMs ?? engageWaitMs)) {
      this.standingWaitSince = undefined;
      return false;
    }
    this.standingWaitSince ??= now;
    // A queue that has its own bound takes a burst; single refusals do not show a lasting overload there.
    const isShort = state.engageWaitMs === undefined;
    return (
      (isShort && this.refused > 0) ||
      now - this.standingWaitSince >= engageAfterMs * this.scale(state)
    );
  }

  /** A queue that may be longer before the threshold engages may also stand for longer. */
  private scale({ engageWaitMs }: GateState): number {
    return Math.max(1, (engageWaitMs ?? 0) / this.options.engageWaitMs);
  }

  private computeThreshold(state: GateState): number {
    const { queuePerSlot, queueGain } = this.options;
    const scale = this.scale(state);
    const excessQueue = state.queued - queuePerSlot * scale * state.limit;
    const wanted = state.limit - (queueGain / scale) * excessQueue;
    const lowest = LOWEST_ADMITTED_SHARE * state.limit;
    const highest = HIGHEST_ADMITTED_SHARE * state.limit;
    return this.load.thresholdFor(Math.min(highest, Math.max(lowest, wanted)));
  }
}

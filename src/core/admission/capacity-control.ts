/** Feedback controller: finds the part of a short service's slots that admitted requests may be planned for. */

/** What one gate of the short service reports for an interval. */
export interface GateCapacity {
  /** Concurrency limit. */
  readonly limit: number;
  /** Mean number of calls in flight and waiting. */
  readonly pending: number;
  /** Calls offered in the interval. */
  readonly offered: number;
  /** Calls refused in the interval. */
  readonly refused: number;
}

export interface CapacityControlOptions {
  readonly intervalMs: number;
  /** Factor at the start. */
  readonly initial: number;
  readonly lowest: number;
  readonly highest: number;
  /** Load, in calls in flight and waiting per slot, that the controller holds. */
  readonly targetLoad: number;
  /** Change of the factor in an interval per unit of load above or below the target. */
  readonly gain: number;
  /** Additional increase in an interval per share of the slots that is idle. */
  readonly idleGain: number;
  /** Part of the slots, per unit of load above the target, that is left out of the plan to drain the queue. */
  readonly drainGain: number;
}

/**
 * A target of 1.05 left a tenth of the slots idle: arrivals vary by some 4% within the delay of the loop, half a
 * second, which is most of a unit of load with calls of 30 ms. The gains are small for the same reason. The
 * queue is drained by its own term, which ends with it: integrated, a burst kept the factor low for seconds. The
 * highest factor covers gates that serve but whose reports don't arrive, up to more than half of them.
 */
export const DEFAULT_CAPACITY_CONTROL: CapacityControlOptions = {
  intervalMs: 200,
  initial: 0.95,
  lowest: 0.5,
  highest: 2.5,
  targetLoad: 1.4,
  gain: 0.01,
  idleGain: 0.12,
  drainGain: 0.15,
};

/** Bounds of the load that counts. */
const LOWEST_LOAD = 0.5;
const HIGHEST_LOAD = 4;
/** Load above the target that changes the factor; more of it is a backlog that passes. */
const HIGHEST_ERROR = 1;
/** Share of the offered calls that may be refused before it counts as overload. */
const TOLERATED_REFUSED_SHARE = 0.01;
/** Lowest load that counts while gates refuse more than that. */
const LOAD_WHILE_REFUSING = 2;

/** Part of the way back to the initial factor that is made in an interval while nothing is refused. */
const RETURN_SHARE = 0.1;

/** Factor on the slots that the gates report. */
export class CapacityControl {
  private integral: number;
  private drain = 0;
  private steppedAt: number | undefined;
  private slots = 0;
  private offered = 0;
  private refused = 0;

  constructor(private readonly options: CapacityControlOptions = DEFAULT_CAPACITY_CONTROL) {
    this.integral = options.initial;
  }

  get factor(): number {
    const { lowest, highest } = this.options;
    return Math.min(highest, Math.max(lowest, this.integral - this.drain));
  }

  /** Records the calls of a gate's interval. */
  noteCalls({ offered, refused }: GateCapacity): void {
    this.offered += offered;
    this.refused += refused;
  }

  /**
   * Makes a step when an interval has passed.
   *
   * @param gates newest report of each gate
   * @param isRefusing whether the newest plan refuses requests; otherwise the load shows nothing about the
   * factor, which returns to its initial value
   */
  update(now: number, gates: readonly GateCapacity[], isRefusing: boolean): void {
    const { intervalMs, initial, lowest, highest, targetLoad } = this.options;
    this.steppedAt ??= now;
    this.onSlots(gates.reduce((sum, { limit }) => sum + limit, 0));
    if (now - this.steppedAt < intervalMs || gates.length === 0) return;
    this.steppedAt = now;
    const load = this.loadOf(gates);
    if (isRefusing) this.integral *= 1 + this.correction(load);
    else this.integral += (initial - this.integral) * RETURN_SHARE;
    this.integral = Math.min(highest, Math.max(lowest, this.integral));
    this.drain = this.options.drainGain * Math.max(0, load - targetLoad);
    this.offered = 0;
    this.refused = 0;
  }

  /** Gates that begin to report were part of the capacity already if the factor has risen without them. */
  private onSlots(slots: number): void {
    if (slots > this.slots) {
      const unchanged = (this.integral * this.slots) / slots;
      this.integral = Math.max(Math.min(this.integral, this.options.initial), unchanged);
    }
    this.slots = slots;
  }

  private correction(load: number): number {
    const { targetLoad, gain, idleGain } = this.options;
    const error = Math.max(-HIGHEST_ERROR, targetLoad - load);
    return gain * error + idleGain * Math.max(0, 1 - load);
  }

  private loadOf(gates: readonly GateCapacity[]): number {
    const sum = gates.reduce((total, { pending, limit }) => total + pending / limit, 0);
    const load = Math.min(HIGHEST_LOAD, Math.max(LOWEST_LOAD, sum / gates.length));
    const isOverloaded = this.refused > this.offered * TOLERATED_REFUSED_SHARE;
    return isOverloaded ? Math.max(LOAD_WHILE_REFUSING, load) : load;
  }
}

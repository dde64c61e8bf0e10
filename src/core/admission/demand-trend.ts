/** Extrapolates the demand for a short service over the delay with which its admission plan takes effect. */

interface Sample {
  readonly at: number;
  /** Slot time wanted per reporting node, in milliseconds a second. */
  readonly wanted: number;
}

/** Time over which the trend is measured, in milliseconds. */
const SPAN_MS = 800;
const MIN_SPAN_MS = 300;
/**
 * Mean age of the demand when a plan made from it decides, in milliseconds: half of the window in which it is
 * counted, half of the interval of reports, half of the lifetime of a plan at an entry node.
 */
const DELAY_MS = 450;
/** Relative change a second that random arrivals alone show. */
const NOISE_PER_SECOND = 0.08;
const LOWEST_FACTOR = 0.85;
const HIGHEST_FACTOR = 1.25;
const MS_PER_SECOND = 1_000;

/** Change of the demand per reporting node, so that nodes which begin to report are not taken for a rise. */
export class DemandTrend {
  private readonly samples: Sample[] = [];

  note(now: number, wanted: number, nodes: number): void {
    if (nodes > 0) this.samples.push({ at: now, wanted: wanted / nodes });
    while (this.samples.length > 0 && now - this.samples[0]!.at > SPAN_MS) this.samples.shift();
  }

  /** Factor from the demand measured to the demand when the plan takes effect. */
  factor(): number {
    const [first, last] = [this.samples[0], this.samples.at(-1)];
    if (first === undefined || last === undefined) return 1;
    const spanMs = last.at - first.at;
    if (spanMs < MIN_SPAN_MS || first.wanted === 0 || last.wanted === 0) return 1;
    const perSecond = ((last.wanted - first.wanted) * MS_PER_SECOND) / (spanMs * last.wanted);
    const beyondNoise = Math.sign(perSecond) * Math.max(0, Math.abs(perSecond) - NOISE_PER_SECOND);
    const change = (beyondNoise * DELAY_MS) / MS_PER_SECOND;
    return Math.min(HIGHEST_FACTOR, Math.max(LOWEST_FACTOR, 1 + change));
  }
}

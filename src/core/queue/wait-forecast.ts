/**
 * Forecasts the wait and the service time of requests at one target that states its slowdown.
 *
 * Work is counted in slot milliseconds at the usual slowdown of the target, so that a change of the
 * slowdown changes the forecast of every waiting request without a visit to it.
 */
import type { ServiceTime } from '../limit/service-time.js';
import { CRITICALITIES } from '../request.js';
import type { GateSlots } from './queue-discipline.js';
import type { StatedSlowdown } from './stated-slowdown.js';

/** Time constant of the mean service time of a kind, in milliseconds; that of the usual slowdown. */
const MEAN_MS = 5_000;
/** Weight of a sample while there are few, and its bound after a pause: 3 in 100 take 7 times as long. */
const MAX_SAMPLE_WEIGHT = 0.05;
/** Bounds of present over usual slowdown, against false statements. */
const MIN_RATIO = 0.4;
const MAX_RATIO = 2.5;
/** Time constant of the work that arrives in each class, in milliseconds. */
const ARRIVALS_MS = 1_000;
/** Largest share of the slots that stricter classes are expected to take from a waiting request. */
const MAX_SHARE_ABOVE = 0.95;

interface Mean {
  valueMs: number;
  samples: number;
  updatedAt: number;
}

interface ArrivedWork {
  workMs: number;
  updatedAt: number;
}

export interface WaitForecastOptions {
  readonly slots: GateSlots;
  readonly slowdown: StatedSlowdown;
  /** Estimates from before the first statement; first values of the means. */
  readonly serviceTime: ServiceTime;
}

/** Forecast of one target. */
export class WaitForecast {
  private readonly byKind = new Map<string, Mean>();
  private readonly arrived: readonly ArrivedWork[] = CRITICALITIES.map(() => ({
    workMs: 0,
    updatedAt: 0,
  }));
  private overall: Mean | undefined;

  constructor(private readonly options: WaitForecastOptions) {}

  /** Learns from a request that was answered. */
  noteServed(now: number, kind: string, latencyMs: number): void {
    this.overall = update(this.overall, now, latencyMs, this.options.serviceTime.mean());
    const initialMs = this.options.serviceTime.ofKind(kind);
    this.byKind.set(kind, update(this.byKind.get(kind), now, latencyMs, initialMs));
  }

  /** Counts the work of an admitted request. */
  noteAdmitted(now: number, rank: number, workMs: number): void {
    const arrived = this.arrived[rank]!;
    arrived.workMs = arrivedAt(now, arrived) + workMs;
    arrived.updatedAt = now;
  }

  /** Expected work of a request of the kind at the usual slowdown, in slot milliseconds. */
  workMs(kind: string): number {
    return this.meanOf(kind) ?? this.overallMs();
  }

  /** Service time of the kind at the present slowdown, in milliseconds; undefined: not known. */
  serviceMs(now: number, kind: string): number | undefined {
    const meanMs = this.meanOf(kind);
    return meanMs === undefined ? undefined : meanMs * this.ratio(now);
  }

  /** Time that the work takes on all slots at the present slowdown, in milliseconds. */
  passageMs(now: number, workMs: number): number {
    return (workMs * this.ratio(now)) / this.options.slots.limit;
  }

  /**
   * Wait of a request while all slots are taken: until a slot is free, and until the work ahead of it
   * has started. Stricter classes that arrive meanwhile pass it, so their share of the slots counts.
   */
  waitMs(now: number, workAheadMs: number, rank: number): number {
    const wait = this.passageMs(now, workAheadMs + this.overallMs());
    return wait * this.stretch(now, rank);
  }

  /** Factor by which stricter classes that arrive during a wait prolong it. */
  stretch(now: number, rank: number): number {
    let aboveMs = 0;
    for (let above = 0; above < rank; above += 1) aboveMs += arrivedAt(now, this.arrived[above]!);
    const share = aboveMs / (ARRIVALS_MS * this.options.slots.limit);
    return 1 / (1 - Math.min(MAX_SHARE_ABOVE, share));
  }

  private ratio(now: number): number {
    const { slowdown } = this.options;
    const ratio = (slowdown.at(now) ?? 1) / slowdown.usual;
    return Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
  }

  private meanOf(kind: string): number | undefined {
    return this.byKind.get(kind)?.valueMs ?? this.options.serviceTime.ofKind(kind);
  }

  private overallMs(): number {
    return this.overall?.valueMs ?? this.options.serviceTime.mean();
  }
}

function update(mean: Mean | undefined, now: number, sampleMs: number, initialMs = sampleMs): Mean {
  const { valueMs, samples, updatedAt } = mean ?? {
    valueMs: initialMs,
    samples: 0,
    updatedAt: now,
  };
  const first = 1 / (samples + 2);
  const byTime = 1 - Math.exp((updatedAt - now) / MEAN_MS);
  const weight = Math.min(MAX_SAMPLE_WEIGHT, Math.max(first, byTime));
  return {
    valueMs: valueMs + weight * (sampleMs - valueMs),
    samples: samples + 1,
    updatedAt: now,
  };
}

function arrivedAt(now: number, { workMs, updatedAt }: ArrivedWork): number {
  return workMs * Math.exp((updatedAt - now) / ARRIVALS_MS);
}

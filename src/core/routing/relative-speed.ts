/**
 * Relative speed of the targets of one service, learned from the times and slowdowns that their nodes report.
 * Times are compared kind by kind, so that a target with more of the long kinds does not count as slow. Only
 * reports with a stated slowdown count; without them there is no relative speed.
 */
import type { LoadReport } from '../request.js';

/** Bounds of the relative time and of the relative slowdown, whatever a target states or shows. */
const MIN_FACTOR = 0.4;
const MAX_FACTOR = 2.5;
/**
 * Least weight of one sample in the mean time of a kind at a target. A node's mean over its last dozen
 * requests varies by a fifth, since 3 in 100 requests take 7 times the usual time; twenty samples bring
 * this down to a few percent.
 */
const TIME_WEIGHT = 0.05;
/** Time constant with which a sample's weight grows with the pause before it, in milliseconds. */
const PAUSE_MS = 10_000;
/** Least weight of one sample in the mean time of a kind at the service. */
const TYPICAL_WEIGHT = 0.02;
/** The usual time as a share of the mean: a tail of 3 in 100 requests at 7 times the usual time adds 18%. */
const USUAL_SHARE_OF_MEAN = 0.85;
/** Bounds of a stated slowdown: what lies outside them is an outage or false. */
const MIN_SLOWDOWN = 0.5;
const MAX_SLOWDOWN = 4;
/** Lower bound of the relative slowdown: a target that falsely states to be fast must not draw requests. */
const MIN_RELATIVE_SLOWDOWN = 0.8;
/** Time constant of a target's usual slowdown, in milliseconds; about as long as its mean times take. */
const USUAL_SLOWDOWN_MS = 2_000;
/** Longest pause before a statement that adds to its weight: one statement must not set the usual slowdown. */
const MAX_STATEMENT_PAUSE_MS = 500;
/** Time constant with which a stated slowdown loses its effect, in milliseconds. */
const SLOWDOWN_DECAY_MS = 300;
/** Time for which relative times are kept before they are compared again, in milliseconds. */
const COMPARISON_INTERVAL_MS = 100;
/** Kinds that are remembered for one service; more would be a fault of the rules. */
const MAX_KINDS = 64;

interface MeanTime {
  ms: number;
  samples: number;
  updatedAt: number;
}

/** What one target has shown and stated about its speed. */
export class TargetSpeed {
  /** Time of the target for a request over the mean of its service; see {@link ServiceSpeeds}. */
  relativeTime = 1;
  private readonly times = new Map<string, MeanTime>();
  private slowdown: number | undefined;
  private usualSlowdown = 1;
  private notedAt = -Infinity;

  /** Mean time of each kind at this target. */
  get kinds(): ReadonlyMap<string, Readonly<MeanTime>> {
    return this.times;
  }

  /** Records a load report of the target; one without a slowdown is ignored. */
  note(now: number, kind: string, { slowdown, kindLatencyMs }: LoadReport): void {
    if (slowdown === undefined) return;
    this.noteSlowdown(now, slowdown);
    if (kindLatencyMs !== undefined) addTime(this.times, kind, now, kindLatencyMs, TIME_WEIGHT);
  }

  /** How long the target takes for a request now; 1 is the mean of the service. */
  timeFactor(now: number): number {
    return this.relativeTime * this.relativeSlowdown(now);
  }

  /**
   * Present slowdown over the usual one of this target. The usual one is part of the measured times, so a
   * target that always states the same figure, true or not, is judged by its times alone.
   */
  private relativeSlowdown(now: number): number {
    if (this.slowdown === undefined) return 1;
    const age = Math.exp((this.notedAt - now) / SLOWDOWN_DECAY_MS);
    const factor = clampFactor(1 + (this.slowdown / this.usualSlowdown - 1) * age);
    return Math.max(MIN_RELATIVE_SLOWDOWN, factor);
  }

  private noteSlowdown(now: number, stated: number): void {
    const slowdown = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, stated));
    if (this.slowdown !== undefined) {
      const pauseMs = Math.min(now - this.notedAt, MAX_STATEMENT_PAUSE_MS);
      const weight = 1 - Math.exp(-pauseMs / USUAL_SLOWDOWN_MS);
      this.usualSlowdown += weight * (slowdown - this.usualSlowdown);
    }
    this.slowdown = slowdown;
    this.notedAt = now;
  }
}

/** Compares the targets of one service, and knows the typical time of each kind at the service. */
export class ServiceSpeeds {
  private readonly times = new Map<string, MeanTime>();
  private comparedAt = -Infinity;

  /** Records a load report of any target. */
  note(now: number, kind: string, { slowdown, kindLatencyMs }: LoadReport): void {
    if (slowdown === undefined || kindLatencyMs === undefined) return;
    addTime(this.times, kind, now, kindLatencyMs, TYPICAL_WEIGHT);
  }

  /** Usual time of a kind without its tail, in milliseconds; undefined before a report with a slowdown. */
  typicalMs(kind: string): number | undefined {
    const time = this.times.get(kind);
    return time && time.ms * USUAL_SHARE_OF_MEAN;
  }

  /** Compares the targets with one another, unless this was done a moment ago. */
  compare(now: number, targets: readonly { readonly speed: TargetSpeed }[]): void {
    if (now - this.comparedAt < COMPARISON_INTERVAL_MS) return;
    this.comparedAt = now;
    const means = meansOver(targets);
    for (const { speed } of targets) speed.relativeTime = relativeTimeOf(speed, means);
  }
}

/** Mean time of each kind over the targets that have served it; kinds that only one has served are left out. */
function meansOver(
  targets: readonly { readonly speed: TargetSpeed }[],
): ReadonlyMap<string, number> {
  const times = new Map<string, number[]>();
  for (const { speed } of targets) {
    for (const [kind, { ms }] of speed.kinds) times.set(kind, [...(times.get(kind) ?? []), ms]);
  }
  const means = new Map<string, number>();
  for (const [kind, list] of times) {
    if (list.length > 1) means.set(kind, list.reduce((sum, ms) => sum + ms, 0) / list.length);
  }
  return means;
}

/** Average over the kinds, each weighted by its samples until these suffice for its mean. */
function relativeTimeOf(speed: TargetSpeed, means: ReadonlyMap<string, number>): number {
  let sum = 0;
  let weights = 0;
  for (const [kind, { ms, samples }] of speed.kinds) {
    const mean = means.get(kind);
    if (mean === undefined) continue;
    const weight = Math.min(samples, 1 / TIME_WEIGHT);
    sum += (weight * ms) / mean;
    weights += weight;
  }
  return weights === 0 ? 1 : clampFactor(sum / weights);
}

function addTime(
  times: Map<string, MeanTime>,
  kind: string,
  now: number,
  ms: number,
  leastWeight: number,
): void {
  const known = times.get(kind);
  if (known === undefined) {
    if (times.size < MAX_KINDS) times.set(kind, { ms, samples: 1, updatedAt: now });
    return;
  }
  known.samples += 1;
  const pauseWeight = 1 - Math.exp((known.updatedAt - now) / PAUSE_MS);
  known.ms += Math.max(leastWeight, 1 / known.samples, pauseWeight) * (ms - known.ms);
  known.updatedAt = now;
}

function clampFactor(factor: number): number {
  return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
}

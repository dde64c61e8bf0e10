/**
 * Limit by throughput: stays at the slots that the operator knows and leaves them only on
 * evidence from trials.
 *
 * While requests wait for slots, a trial runs with a higher limit for a number of
 * completions. A target with free slots answers more requests per second then; one without
 * answers as many as before, only later. A trial with a lower limit runs the other way
 * round, above the known slots or when latency has grown with the load. Latency alone
 * changes nothing: a target that slows down keeps its slots. (Hill climbing at the
 * throughput knee; compare the `Gradient2` limit of Netflix's concurrency-limits.)
 *
 * A target that refuses for load is believed at once.
 *
 * @see docs/design/overload-control.md
 */
import type { ConcurrencyLimit, LimitSample } from './concurrency-limit.js';
import { RefusalCeiling } from './refusal-ceiling.js';

/** Parameters of {@link ThroughputLimit}. */
export interface ThroughputLimitOptions {
  readonly initialLimit: number;
  readonly maxLimit: number;
}

/** Change of the limit in a trial, as a share. */
const TRIAL_SHARE = 0.25;
/** Completions per slot in one measurement. */
const COMPLETIONS_PER_SLOT = 10;
/** A trial succeeds when throughput follows the limit by at least this share. */
const FOLLOWS_SHARE = 0.3;
/** Pause after a failed trial, in milliseconds; doubled with each further one. */
const FIRST_PAUSE_MS = 250;
const MAX_PAUSE_MS = 4_000;
/** Latency under load over latency without from which queueing at the target is suspected. */
const SUSPECT_RATIO = 1.5;
/** Weight of one sample in the two latencies. */
const LATENCY_WEIGHT = 0.05;
/** Share of the completions of a measurement at which the queue may be empty. */
const MAX_UNSATURATED_SHARE = 0.1;

interface Measurement {
  skip: number;
  completions: number;
  unsaturated: number;
  startedAt: number;
}

/** Anchored hill climbing on throughput. */
export class ThroughputLimit implements ConcurrencyLimit {
  private limit: number;
  private trialLimit: number | undefined;
  private measurement: Measurement | undefined;
  private baseRate = 0;
  private pauseMs = FIRST_PAUSE_MS;
  private nextTrialAt = -Infinity;
  private lastUpFailed = false;
  private idleLatencyMs: number | undefined;
  private busyLatencyMs = 0;
  private readonly ceiling = new RefusalCeiling();

  constructor(private readonly options: ThroughputLimitOptions) {
    this.limit = options.initialLimit;
  }

  current(): number {
    return this.ceiling.apply(this.trialLimit ?? this.limit);
  }

  onComplete(sample: LimitSample): void {
    if (sample.outcome === 'overloaded') {
      this.ceiling.onRefused(sample.now, sample.inFlight);
      this.abandonTrial();
    }
    if (sample.outcome !== 'success') return;
    this.ceiling.onSuccess(sample.now);
    this.noteLatency(sample);
    this.measure(sample);
  }

  private noteLatency({ latencyMs, inFlight, queued }: LimitSample): void {
    if (queued) {
      this.busyLatencyMs += LATENCY_WEIGHT * (latencyMs - this.busyLatencyMs);
    } else if (inFlight <= this.limit / 2) {
      this.idleLatencyMs ??= latencyMs;
      this.idleLatencyMs += LATENCY_WEIGHT * (latencyMs - this.idleLatencyMs);
    }
  }

  private measure({ now, queued }: LimitSample): void {
    this.measurement ??= {
      skip: this.current(),
      completions: 0,
      unsaturated: 0,
      startedAt: now,
    };
    const { measurement } = this;
    if (measurement.skip > 0) {
      measurement.skip -= 1;
      measurement.startedAt = now;
      return;
    }
    const wanted = COMPLETIONS_PER_SLOT * this.limit;
    measurement.completions += 1;
    if (!queued) measurement.unsaturated += 1;
    if (measurement.unsaturated > MAX_UNSATURATED_SHARE * wanted) this.abandonTrial();
    else if (measurement.completions >= wanted) this.endMeasurement(now, measurement);
  }

  private endMeasurement(now: number, { completions, startedAt }: Measurement): void {
    this.measurement = undefined;
    if (now > startedAt) this.onRate(now, completions / (now - startedAt));
  }

  private onRate(now: number, rate: number): void {
    if (this.trialLimit === undefined) {
      this.baseRate = rate;
      if (now >= this.nextTrialAt) this.startTrial();
      return;
    }
    const change = this.trialLimit / this.limit - 1;
    const followed = (rate / this.baseRate - 1) / change >= FOLLOWS_SHARE;
    const isBetter = change > 0 ? followed : !followed;
    if (isBetter) this.limit = this.trialLimit;
    this.lastUpFailed = change > 0 && !isBetter;
    this.pauseMs = isBetter ? FIRST_PAUSE_MS : Math.min(MAX_PAUSE_MS, 2 * this.pauseMs);
    this.nextTrialAt = isBetter ? now : now + this.pauseMs;
    this.trialLimit = undefined;
  }

  private startTrial(): void {
    const step = Math.max(1, Math.round(TRIAL_SHARE * this.limit));
    const up = Math.min(this.options.maxLimit, this.limit + step);
    const down = Math.max(1, this.limit - step);
    const goesDown = this.mayGoDown() && (this.lastUpFailed || up === this.limit);
    const wanted = goesDown ? down : up;
    if (wanted !== this.limit) this.trialLimit = wanted;
  }

  private mayGoDown(): boolean {
    if (this.limit > this.options.initialLimit) return true;
    return this.busyLatencyMs > SUSPECT_RATIO * (this.idleLatencyMs ?? Infinity);
  }

  private abandonTrial(): void {
    this.measurement = undefined;
    this.trialLimit = undefined;
  }
}

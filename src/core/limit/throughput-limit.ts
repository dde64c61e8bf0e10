/**
 * Limit by throughput. It starts at the slots that the operator configured and changes only on
 * evidence from trials.
 *
 * While requests wait for slots, a trial runs with a higher limit for a number of
 * completions. A target with free slots then answers more requests per second; one without
 * free slots answers as many as before, only later. The limit rises after one clear or two weak
 * successes; above the configured slots a trial with a lower limit follows each failed one.
 * Latency has no effect: a target that slows down, or waits for others, keeps its slots.
 * (Hill climbing at the throughput knee; compare the `Gradient2` limit of Netflix's
 * concurrency-limits.)
 *
 * A refusal for load by the target lowers the limit at once.
 *
 * @see docs/design/overload-control.md
 */
import type { ConcurrencyLimit, LimitSample } from './concurrency-limit.js';
import { RefusalCeiling } from './refusal-ceiling.js';

export interface ThroughputLimitOptions {
  readonly initialLimit: number;
  readonly maxLimit: number;
}

/** Change of the limit in a trial, as a share. */
const TRIAL_SHARE = 0.25;
/** Completions per slot in one measurement. */
const COMPLETIONS_PER_SLOT = 10;
/** A trial succeeds when throughput follows the change of the limit by at least this share. */
const MIN_FOLLOW_SHARE = 0.3;
/** Base of the pause after a failed trial, in milliseconds; it grows with each further one. */
const FIRST_PAUSE_MS = 1_000;
const MAX_PAUSE_MS = 30_000;
const PAUSE_GROWTH = 4;
/** Share from which a single trial is a clear success. */
const CLEAR_FOLLOW_SHARE = 0.9;
/** Weak successes in a row after which the limit rises. */
const CONFIRMATIONS = 2;
/** Largest share of a measurement's completions at which the queue may be empty. */
const MAX_UNSATURATED_SHARE = 0.1;

interface Measurement {
  skip: number;
  completions: number;
  unsaturated: number;
  startedAt: number;
}

/** Hill climbing on throughput from the configured slots. */
export class ThroughputLimit implements ConcurrencyLimit {
  private limit: number;
  private trialLimit: number | undefined;
  private measurement: Measurement | undefined;
  private baseRate = 0;
  private pauseMs = FIRST_PAUSE_MS;
  private nextTrialAt = -Infinity;
  private lastIncreaseFailed = false;
  private confirmations = 0;
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
    this.ceiling.onSuccess(sample.now, sample.inFlight);
    this.measure(sample);
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
    const completionsNeeded = COMPLETIONS_PER_SLOT * this.limit;
    measurement.completions += 1;
    if (!queued) measurement.unsaturated += 1;
    if (measurement.unsaturated > MAX_UNSATURATED_SHARE * completionsNeeded) this.abandonTrial();
    else if (measurement.completions >= completionsNeeded) this.endMeasurement(now, measurement);
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
    const followShare = (rate / this.baseRate - 1) / change;
    if (change > 0) this.endIncreaseTrial(now, followShare, this.trialLimit);
    else this.endDecreaseTrial(now, followShare, this.trialLimit);
    this.trialLimit = undefined;
  }

  private endIncreaseTrial(now: number, followShare: number, testedLimit: number): void {
    this.confirmations = followShare >= MIN_FOLLOW_SHARE ? this.confirmations + 1 : 0;
    this.lastIncreaseFailed = this.confirmations === 0;
    if (this.lastIncreaseFailed) {
      this.pause(now);
    } else if (this.confirmations === CONFIRMATIONS || followShare >= CLEAR_FOLLOW_SHARE) {
      this.confirmations = 0;
      this.limit = testedLimit;
      this.pauseMs = FIRST_PAUSE_MS;
    }
  }

  private endDecreaseTrial(now: number, followShare: number, testedLimit: number): void {
    this.lastIncreaseFailed = false;
    if (followShare >= MIN_FOLLOW_SHARE) this.pause(now);
    else this.limit = Math.max(this.options.initialLimit, testedLimit);
  }

  private pause(now: number): void {
    this.pauseMs = Math.min(MAX_PAUSE_MS, PAUSE_GROWTH * this.pauseMs);
    this.nextTrialAt = now + this.pauseMs;
  }

  private startTrial(): void {
    const { initialLimit, maxLimit } = this.options;
    const step = Math.max(1, Math.round(TRIAL_SHARE * this.limit));
    const decreases =
      this.limit > initialLimit && (this.lastIncreaseFailed || this.limit === maxLimit);
    const wanted = decreases ? this.limit - step : Math.min(maxLimit, this.limit + step);
    if (wanted !== this.limit) this.trialLimit = wanted;
  }

  private abandonTrial(): void {
    this.measurement = undefined;
    this.trialLimit = undefined;
  }
}

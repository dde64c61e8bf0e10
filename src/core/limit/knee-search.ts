/**
 * Searches for the limit with the highest throughput: the target's slots, or slightly fewer.
 * Some targets slow down when their last slots are taken, and answer more with a few slots less.
 *
 * While requests wait for slots, each candidate limit applies for a number of answers. Candidates are
 * compared by the latency of requests of the same kind, so that a change in the mix of kinds has no
 * effect. Without waiting requests no trial runs and the limit stays.
 */

/** Candidate limits as shares of the slots; the knee of a target is mostly near its last slots. */
const CANDIDATE_SHARES: readonly number[] = [1, 0.95, 0.9];
/**
 * Candidates in the order of their trials. The order is symmetric, so that a target that becomes
 * faster during the search, as after its start, does not make a lower limit look better.
 */
const TRIAL_ORDER: readonly number[] = [0, 1, 2, 2, 1, 0];
/** Answers per slot in one trial; each candidate has two trials. */
const ANSWERS_PER_SLOT = 3;
/** A kind counts when it has this many answers under each candidate that is compared. */
const MIN_ANSWERS_PER_KIND = 8;
/** A lower limit must raise the throughput by this factor, which is more than chance explains. */
const MIN_GAIN = 1.06;
/** Largest share of a trial's answers at which no request waits; above it the search is abandoned. */
const MAX_UNSATURATED_SHARE = 0.2;
/** Time for which a result holds before the search begins again, in milliseconds. */
const HOLD_MS = 10_000;

/** One successful request. */
export interface KneeSample {
  readonly now: number;
  readonly kind: string;
  /** From dispatch to the end, in milliseconds. */
  readonly latencyMs: number;
  /** Whether all slots were taken and requests were waiting when it ended. */
  readonly queued: boolean;
}

interface KindLatency {
  count: number;
  totalMs: number;
}

/** One candidate limit and the latencies measured under it. */
interface Candidate {
  readonly limit: number;
  readonly byKind: Map<string, KindLatency>;
}

/** The current trial. */
interface Trial {
  readonly candidate: Candidate;
  /** Answers still to skip: their requests were dispatched under another limit. */
  skip: number;
  answers: number;
  unsaturated: number;
}

/** Search for the best limit of one target. */
export class KneeSearch {
  private readonly limits: readonly number[];
  private candidates: readonly Candidate[] = [];
  private trial: Trial | undefined;
  private trialsEnded = 0;
  private best: number;
  private holdUntil = -Infinity;

  /** @param slots requests that the target serves at a time, as it declares */
  constructor(slots: number) {
    this.limits = CANDIDATE_SHARES.map((share) => Math.max(1, Math.floor(share * slots)));
    this.best = slots;
  }

  /** The limit to use now. */
  current(): number {
    return this.trial?.candidate.limit ?? this.best;
  }

  /** Learns from one answer. */
  onSuccess(sample: KneeSample): void {
    if (this.limits.at(-1) === this.limits[0] || sample.now < this.holdUntil) return;
    const { trial } = this;
    if (trial === undefined) {
      if (sample.queued) this.startSearch();
      return;
    }
    if (trial.skip > 0) {
      trial.skip -= 1;
      return;
    }
    note(trial, sample);
    const answersNeeded = ANSWERS_PER_SLOT * trial.candidate.limit;
    if (trial.unsaturated > MAX_UNSATURATED_SHARE * answersNeeded) this.trial = undefined;
    else if (trial.answers >= answersNeeded) this.endTrial(sample.now);
  }

  private startSearch(): void {
    this.candidates = this.limits.map((limit) => ({ limit, byKind: new Map() }));
    this.trialsEnded = 0;
    this.startTrial();
  }

  private endTrial(now: number): void {
    this.trialsEnded += 1;
    if (this.trialsEnded < TRIAL_ORDER.length) {
      this.startTrial();
      return;
    }
    this.best = findBest(this.candidates);
    this.trial = undefined;
    this.holdUntil = now + HOLD_MS;
  }

  private startTrial(): void {
    const candidate = this.candidates[TRIAL_ORDER[this.trialsEnded]!]!;
    this.trial = { candidate, skip: candidate.limit, answers: 0, unsaturated: 0 };
  }
}

function note(trial: Trial, { kind, latencyMs, queued }: KneeSample): void {
  trial.answers += 1;
  if (!queued) trial.unsaturated += 1;
  const { byKind } = trial.candidate;
  const latency = byKind.get(kind) ?? { count: 0, totalMs: 0 };
  latency.count += 1;
  latency.totalMs += latencyMs;
  byKind.set(kind, latency);
}

function findBest(candidates: readonly Candidate[]): number {
  let best = candidates[0]!;
  for (const candidate of candidates.slice(1)) {
    if (rateRatio(candidate, best) > MIN_GAIN) best = candidate;
  }
  return best.limit;
}

/** Throughput of `one` relative to `other`, for the same mix of kinds. */
function rateRatio(one: Candidate, other: Candidate): number {
  let weight = 0;
  let weightedRatio = 0;
  for (const [kind, latency] of one.byKind) {
    const compared = other.byKind.get(kind);
    if (compared === undefined) continue;
    const count = Math.min(latency.count, compared.count);
    if (count < MIN_ANSWERS_PER_KIND) continue;
    weight += count;
    weightedRatio +=
      count * (compared.totalMs / compared.count / (latency.totalMs / latency.count));
  }
  return weight === 0 ? 1 : ((weightedRatio / weight) * one.limit) / other.limit;
}

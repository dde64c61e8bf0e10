/** Choice among targets: power of two choices, in the router's zone and outside it. */
import type { Random } from '../random.js';
import { computeDefaultLimit, type Locality, scoreOf } from './load-score.js';
import type { TargetState } from './target-state.js';

/** Chooses one of at least one candidate. */
export type TargetChoice = (
  now: number,
  candidates: readonly TargetState[],
  locality: Locality,
  random: Random,
) => TargetState;

/**
 * Power of two choices (Mitzenmacher 2001): the best of two targets of the local zone and two
 * of other zones, so that load spills over when the local zone is loaded.
 */
export const chooseByTwoChoices: TargetChoice = (now, candidates, locality, random) => {
  const local = candidates.filter(({ view }) => view.zone === locality.zone);
  const others = candidates.filter(({ view }) => view.zone !== locality.zone);
  const sample = [...sampleTwo(local, random), ...sampleTwo(others, random)];
  return findBest(now, sample, candidates, locality);
};

/** The best of all candidates; for comparison. */
export const chooseLeastLoaded: TargetChoice = (now, candidates, locality) =>
  findBest(now, candidates, candidates, locality);

/** The candidate with the fewest attempts of this router in flight; for comparison. */
export const chooseLeastOutstanding: TargetChoice = (_now, candidates, _locality, random) => {
  const start = random.nextInt(candidates.length);
  const rotated = [...candidates.slice(start), ...candidates.slice(0, start)];
  return rotated.reduce((best, target) => (target.outstanding < best.outstanding ? target : best));
};

/** Share of its limit from which a target counts as hot. */
const HOT_SHARE = 0.8;

/**
 * The cold target with the lowest latency, else the hot one with the fewest requests (the
 * hot-cold rule of Prequal, NSDI 2024, on the load that answers carry); for comparison.
 */
export const chooseByHotCold: TargetChoice = (now, candidates, _locality, random) => {
  const sample = sampleTwo(candidates, random);
  const limit = computeDefaultLimit(candidates);
  const share = (target: TargetState) => target.load(now) / (target.lastReport()?.limit ?? limit);
  const latency = (target: TargetState) => target.lastReport()?.latencyMs ?? 0;
  const cold = sample.filter((target) => share(target) < HOT_SHARE);
  const least = (targets: readonly TargetState[], measure: (target: TargetState) => number) =>
    targets.reduce((best, target) => (measure(target) < measure(best) ? target : best));
  return cold.length > 0 ? least(cold, latency) : least(sample, share);
};

function findBest(
  now: number,
  sample: readonly TargetState[],
  candidates: readonly TargetState[],
  locality: Locality,
): TargetState {
  const defaultLimit = (): number => computeDefaultLimit(candidates);
  let best = sample[0]!;
  let bestScore = Infinity;
  for (const target of sample) {
    const score = scoreOf(now, target, locality, defaultLimit);
    if (score < bestScore) {
      best = target;
      bestScore = score;
    }
  }
  return best;
}

/** Up to two different targets, in random order. */
function sampleTwo(targets: readonly TargetState[], random: Random): readonly TargetState[] {
  if (targets.length <= 1) return targets;
  const first = random.nextInt(targets.length);
  const step = 1 + random.nextInt(targets.length - 1);
  return [targets[first]!, targets[(first + step) % targets.length]!];
}

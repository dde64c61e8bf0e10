/** Choice among targets: power of two choices, in the router's zone and outside it. */
import type { Random } from '../random.js';
import { computeDefaultLimit, type Locality, scoreOf, type TimeFactor } from './load-score.js';
import type { TargetState } from './target-state.js';

/**
 * Chooses one of at least one candidate.
 *
 * @param timeFactor present for requests for which the speed of the target counts
 */
export type TargetChoice = (
  now: number,
  candidates: readonly TargetState[],
  locality: Locality,
  random: Random,
  timeFactor?: TimeFactor,
) => TargetState;

/**
 * Power of two choices (Mitzenmacher 2001): the best of two targets of the local zone and two
 * of other zones, so that load spills over when the local zone is loaded.
 */
export const chooseByTwoChoices: TargetChoice = (now, candidates, locality, random, timeFactor) => {
  const local = candidates.filter(({ view }) => view.zone === locality.zone);
  const others = candidates.filter(({ view }) => view.zone !== locality.zone);
  const sample = [local, others].flatMap((targets) =>
    timeFactor === undefined
      ? sampleTwo(targets, random)
      : sampleTwoBySpeed(targets, random, timeFactor),
  );
  return findBest(now, sample, candidates, locality, timeFactor);
};

/** The best of all candidates; for comparison. */
export const chooseLeastLoaded: TargetChoice = (now, candidates, locality, _random, timeFactor) =>
  findBest(now, candidates, candidates, locality, timeFactor);

/** The candidate with the fewest attempts of this router in flight; for comparison. */
export const chooseLeastOutstanding: TargetChoice = (_now, candidates, _locality, random) => {
  const start = random.nextInt(candidates.length);
  const rotated = [...candidates.slice(start), ...candidates.slice(0, start)];
  return rotated.reduce((best, target) => (target.outstanding < best.outstanding ? target : best));
};

/**
 * Power of the speed with which a target is drawn for a request for which the speed counts. With 1, a tenth
 * of the late requests more remain in plays; 3 and 4 gather up to two thirds of them at one of six targets.
 */
const SPEED_EXPONENT = 2;

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
  timeFactor: TimeFactor | undefined,
): TargetState {
  const defaultLimit = (): number => computeDefaultLimit(candidates);
  let best = sample[0]!;
  let bestScore = Infinity;
  for (const target of sample) {
    const score = scoreOf(now, target, locality, defaultLimit, timeFactor);
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

/**
 * Up to two different targets, in random order; a target that takes twice the time is drawn a quarter as
 * often. Two targets drawn evenly are both slow too often: 2 times in 5 where a third of the targets is fast.
 */
function sampleTwoBySpeed(
  targets: readonly TargetState[],
  random: Random,
  timeFactor: TimeFactor,
): readonly TargetState[] {
  if (targets.length <= 1) return targets;
  const weights = targets.map((target) => timeFactor(target) ** -SPEED_EXPONENT);
  const first = drawWeighted(weights, random);
  weights[first] = 0;
  const second = drawWeighted(weights, random);
  return [targets[first]!, targets[second]!];
}

/** Index of a weight, drawn in proportion to the weights; one of them is above 0. */
function drawWeighted(weights: readonly number[], random: Random): number {
  let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  let last = 0;
  for (const [index, weight] of weights.entries()) {
    if (weight === 0) continue;
    if (left < weight) return index;
    left -= weight;
    last = index;
  }
  return last;
}

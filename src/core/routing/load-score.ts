/**
 * Score by which routing compares targets: the share of a target's limit that is taken.
 * A slow target stays full for longer and so gets fewer requests; latency itself is left out,
 * because its noise over different kinds unbalances equal targets. The speed of a target counts only for
 * requests with little time left to their objective: in all scores it makes slow targets idle, which costs
 * 8% of a full service's work. A target that leaves attempts without an answer counts as fuller.
 */
import type { TargetState } from './target-state.js';

/** Weight of the share of attempts that a target leaves without an answer. */
const FAILURE_WEIGHT = 2;

/** Location of the router. */
export interface Locality {
  readonly zone: string;
  readonly region: string;
}

/** Added to the score of a target in another zone of the region: traffic between zones is expensive. */
const OTHER_ZONE_PENALTY = 0.6;
/** Share of its limit above which a target counts as crowded. */
const CROWDING_THRESHOLD = 0.8;
/**
 * Weight of the share above that threshold. It makes the router leave a target of the local zone before
 * requests wait there, though it avoids another zone as long as the local one has capacity.
 */
const CROWDING_WEIGHT = 4;
/** Added to the score of a target in another region. */
const OTHER_REGION_PENALTY = 2;
/** Time after which a target that joins gets its full share of requests, in milliseconds. */
const SLOW_START_MS = 2_000;
/** Factor on the score of a target that has just joined. */
const SLOW_START_FACTOR = 8;

/** Limit assumed for targets that have not reported yet: the mean of the others. */
export function computeDefaultLimit(targets: readonly TargetState[]): number {
  const reports = targets.flatMap((target) => target.lastReport() ?? []);
  if (reports.length === 0) return 1;
  return reports.reduce((sum, report) => sum + report.limit, 0) / reports.length;
}

/** How long a target takes for a request now; 1 is the mean of the service. */
export type TimeFactor = (target: TargetState) => number;

/**
 * Score of a target; the lowest is best. The time factor applies to the load alone: a fast target of another
 * zone is as far away as a slow one.
 *
 * @param defaultLimit limit of a target that has not reported; called only then, since it iterates
 * over all targets
 */
export function scoreOf(
  now: number,
  target: TargetState,
  locality: Locality,
  defaultLimit: () => number,
  timeFactor?: TimeFactor,
): number {
  const limit = target.lastReport()?.limit ?? defaultLimit();
  const taken = (target.load(now) + 1) / limit;
  const share = taken + CROWDING_WEIGHT * Math.max(0, taken - CROWDING_THRESHOLD);
  const load = timeFactor === undefined ? share : share * timeFactor(target);
  const loadScore = (load + distancePenalty(target, locality)) * slowStartFactor(now, target);
  return loadScore + FAILURE_WEIGHT * target.failureShare(now);
}

/** Large compared with the load of idle targets, small with that of full ones: load spills over. */
function distancePenalty({ view }: TargetState, { zone, region }: Locality): number {
  if (view.zone === zone) return 0;
  return view.region === region ? OTHER_ZONE_PENALTY : OTHER_REGION_PENALTY;
}

function slowStartFactor(now: number, { joinedAt }: TargetState): number {
  const missing = Math.max(0, 1 - (now - joinedAt) / SLOW_START_MS);
  return 1 + (SLOW_START_FACTOR - 1) * missing;
}

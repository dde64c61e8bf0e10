/**
 * Share of a target's limit that is taken: the measure by which routing compares targets.
 * A slow target stays full for longer and so gets fewer requests; latency itself is left out,
 * because its noise over different kinds unbalances equal targets. A target that leaves attempts
 * without an answer counts as fuller.
 */
import type { TargetState } from './target-state.js';

/** Weight of the share of attempts that a target leaves without an answer. */
const FAILURE_WEIGHT = 2;

/** Where the router stands. */
export interface Locality {
  readonly zone: string;
  readonly region: string;
}

/** Added to the score of a target in another zone of the region: bytes between zones are dear. */
const OTHER_ZONE_PENALTY = 0.6;
/** Share of its limit up to which a target has room. */
const CROWDING_THRESHOLD = 0.8;
/**
 * Weight of what a target is fuller than that. With it a target of the own zone is left before
 * requests wait there, though another zone is avoided as long as the own one has room.
 */
const CROWDING_WEIGHT = 4;
/** The same for a target in another region. */
const OTHER_REGION_PENALTY = 2;
/** Time over which a target that joins takes its full share, in milliseconds. */
const SLOW_START_MS = 2_000;
/** Factor on the score of a target that has just joined. */
const SLOW_START_FACTOR = 8;

/** Limit of targets that have not reported yet: the mean of the others. */
export function computeDefaultLimit(targets: readonly TargetState[]): number {
  const reports = targets.flatMap((target) => target.lastReport() ?? []);
  if (reports.length === 0) return 1;
  return reports.reduce((sum, report) => sum + report.limit, 0) / reports.length;
}

/**
 * Score of a target; the lowest is best.
 *
 * @param defaultLimit limit of a target that has not reported; asked only then, since it takes a
 * look at every target
 */
export function scoreOf(
  now: number,
  target: TargetState,
  locality: Locality,
  defaultLimit: () => number,
): number {
  const limit = target.lastReport()?.limit ?? defaultLimit();
  const taken = (target.load(now) + 1) / limit;
  const share = taken + CROWDING_WEIGHT * Math.max(0, taken - CROWDING_THRESHOLD);
  const loadScore = (share + distancePenalty(target, locality)) * slowStartFactor(now, target);
  return loadScore + FAILURE_WEIGHT * target.failureShare(now);
}

/** Weighs much while targets are idle and little while they are full, so that load spills over. */
function distancePenalty({ view }: TargetState, { zone, region }: Locality): number {
  if (view.zone === zone) return 0;
  return view.region === region ? OTHER_ZONE_PENALTY : OTHER_REGION_PENALTY;
}

function slowStartFactor(now: number, { joinedAt }: TargetState): number {
  const missing = Math.max(0, 1 - (now - joinedAt) / SLOW_START_MS);
  return 1 + (SLOW_START_FACTOR - 1) * missing;
}

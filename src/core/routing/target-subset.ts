/**
 * The subset of a service's targets that one caller uses. In a large fleet a caller that used all targets
 * would send few requests to each, and know the load of none. The targets of a subset report their load more
 * often and need fewer links. The subset is stable while nodes join and leave (rendezvous hashing, weighted
 * by capacity).
 */
import { hashToUnit } from '../admission/admission-priority.js';

/** A target that a caller may use. */
export interface SubsetCandidate {
  readonly id: string;
  readonly zone: string;
  /** See {@link subsetRank}. */
  readonly rank: number;
  /** Whether requests could be sent to it now, as far as the caller knows. */
  readonly usable: boolean;
}

/** Targets of the caller's zone in a subset of width 1. */
const LOCAL_TARGETS = 8;
/** Targets of all other zones, for when the caller's zone is lost, crowded or has too few. */
const OTHER_TARGETS = 6;
/**
 * Callers use all targets of services with no more than this: a subset would save little, and the loads
 * of the targets would differ by more (each is in few subsets).
 */
const WHOLE_SERVICE_TARGETS = 24;

/**
 * Rank of a target in a caller's order; the lowest come first. A target with twice the capacity is in
 * twice as many subsets.
 *
 * @param capacity requests that the target serves at once, or any measure that is the same for all
 */
export function subsetRank(caller: string, target: string, capacity: number): number {
  return -Math.log(1 - hashToUnit(`${caller} ${target}`)) / Math.max(1, capacity);
}

/**
 * Chooses the subset. Unusable targets stay in it, so that they are tried again, but do not count, so that
 * the next in order take their place.
 *
 * @param zone zone of the caller
 * @param width 1, or more when the caller has more requests in flight than a subset should carry
 */
export function chooseSubset<Candidate extends SubsetCandidate>(
  candidates: readonly Candidate[],
  zone: string,
  width = 1,
): readonly Candidate[] {
  const wanted = (LOCAL_TARGETS + OTHER_TARGETS) * width;
  if (candidates.length <= Math.max(WHOLE_SERVICE_TARGETS, wanted)) return candidates;
  const ordered = [...candidates].sort((one, other) => one.rank - other.rank);
  const local = takeUsable(
    ordered.filter((candidate) => candidate.zone === zone),
    LOCAL_TARGETS * width,
  );
  const others = ordered.filter((candidate) => candidate.zone !== zone);
  return [...local, ...takeUsable(others, wanted - countUsable(local))];
}

/** The first candidates, up to and including `count` usable ones. */
function takeUsable<Candidate extends SubsetCandidate>(
  ordered: readonly Candidate[],
  count: number,
): readonly Candidate[] {
  let left = count;
  const taken: Candidate[] = [];
  for (const candidate of ordered) {
    if (left <= 0) break;
    taken.push(candidate);
    if (candidate.usable) left -= 1;
  }
  return taken;
}

function countUsable(candidates: readonly SubsetCandidate[]): number {
  return candidates.filter(({ usable }) => usable).length;
}

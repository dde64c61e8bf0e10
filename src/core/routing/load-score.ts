/** Expected time of a request at a target: the measure by which routing compares targets. */
import type { TargetState } from './target-state.js';

/** Where the router stands. */
export interface Locality {
  readonly zone: string;
  readonly region: string;
}

/** Added to the score of a target in another zone of the region, as a share of its latency. */
const OTHER_ZONE_SHARE = 0.25;
/** The same for a target in another region. */
const OTHER_REGION_SHARE = 2;
/** Time over which a target that joins takes its full share, in milliseconds. */
const SLOW_START_MS = 2_000;
/** Factor on the score of a target that has just joined. */
const SLOW_START_FACTOR = 8;

/** Limit and latency of a target that has not reported yet: those of the others. */
export interface Defaults {
  readonly limit: number;
  readonly latencyMs: number;
}

/** Means over the targets that have reported. */
export function computeDefaults(targets: readonly TargetState[]): Defaults {
  const reports = targets.flatMap((target) => target.lastReport() ?? []);
  if (reports.length === 0) return { limit: 1, latencyMs: 1 };
  const limit = reports.reduce((sum, report) => sum + report.limit, 0) / reports.length;
  const latencyMs = reports.reduce((sum, report) => sum + report.latencyMs, 0) / reports.length;
  return { limit, latencyMs };
}

/** Score of a target; the lowest is best. */
export function scoreOf(
  now: number,
  target: TargetState,
  locality: Locality,
  defaults: Defaults,
): number {
  const { limit, latencyMs } = target.lastReport() ?? defaults;
  const expectedMs = (latencyMs * (target.load(now) + 1)) / limit;
  const distanceMs = latencyMs * distanceShare(target, locality);
  return (expectedMs + distanceMs) * slowStartFactor(now, target);
}

/** Weighs much while targets are idle and little while they are full, so that load spills over. */
function distanceShare({ view }: TargetState, { zone, region }: Locality): number {
  if (view.zone === zone) return 0;
  return view.region === region ? OTHER_ZONE_SHARE : OTHER_REGION_SHARE;
}

function slowStartFactor(now: number, { joinedAt }: TargetState): number {
  const missing = Math.max(0, 1 - (now - joinedAt) / SLOW_START_MS);
  return 1 + (SLOW_START_FACTOR - 1) * missing;
}

/** Builds the rows of a demand report for one short service from an entry node's counts. */
import type { MeasuredDemand } from './demand-meter.js';

/** Demand of one kind, class and tenant for a short service. */
export interface DemandRow {
  readonly kind: string;
  /** Rank of the class, 0 to 3. */
  readonly rank: number;
  /** Empty: none. */
  readonly tenant: string;
  readonly perSecond: number;
  /** Mean time of a slot of the short service that a request takes, in milliseconds; absent: unknown. */
  readonly costMs?: number;
  /** Requests that the cost was learned from. */
  readonly samples: number;
}

/** What is known of the cost of a kind of request at a service. */
export interface KnownCost {
  readonly meanMs: number;
  readonly samples: number;
}

/** Returns the cost of a root request at the short service; undefined: unknown. */
export type CostLookup = (kind: string, service: string) => KnownCost | undefined;

/** Kind of the rows that add up what a report has no room for. */
export const OTHER_KINDS = '*';
const MAX_ROWS = 64;
/** One row per class is left for the rest. */
const CLASSES = 4;

/** Rows of the kinds that cost something, or an unknown amount, at the short service; the largest first. */
export function buildDemandRows(
  demand: readonly MeasuredDemand[],
  costOf: CostLookup,
): readonly DemandRow[] {
  const rows: DemandRow[] = [];
  for (const { rank, kind, service, tenant, perSecond } of demand) {
    const cost = costOf(kind, service);
    if (cost === undefined) rows.push({ kind, rank, tenant, perSecond, samples: 0 });
    else if (cost.meanMs > 0) {
      const { meanMs: costMs, samples } = cost;
      rows.push({ kind, rank, tenant, perSecond, costMs, samples });
    }
  }
  if (rows.length <= MAX_ROWS) return rows;
  const typical = meanCost(rows);
  const load = ({ perSecond, costMs = typical }: DemandRow): number => perSecond * costMs;
  rows.sort((one, other) => load(other) - load(one));
  const kept = rows.slice(0, MAX_ROWS - CLASSES);
  return [...kept, ...addUp(rows.slice(MAX_ROWS - CLASSES))];
}

/** Mean cost of a request over the rows with a known cost; 0 when none is known. */
export function meanCost(rows: readonly DemandRow[]): number {
  let [requests, cost] = [0, 0];
  for (const { perSecond, costMs } of rows) {
    if (costMs === undefined) continue;
    requests += perSecond;
    cost += perSecond * costMs;
  }
  return requests === 0 ? 0 : cost / requests;
}

function addUp(rows: readonly DemandRow[]): readonly DemandRow[] {
  const sums: DemandRow[] = [];
  for (let rank = 0; rank < CLASSES; rank += 1) {
    const ofClass = rows.filter((row) => row.rank === rank);
    if (ofClass.length === 0) continue;
    const perSecond = ofClass.reduce((sum, row) => sum + row.perSecond, 0);
    const samples = ofClass.reduce((sum, row) => sum + row.samples, 0);
    const costMs = meanCost(ofClass);
    const row = { kind: OTHER_KINDS, rank, tenant: '', perSecond, samples };
    sums.push(costMs === 0 ? row : { ...row, costMs });
  }
  return sums;
}

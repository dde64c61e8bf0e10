/** Divides the capacity of a short service among the classes of root requests that need it. */
import { CRITICALITIES } from '../request.js';
import { computeFairShares } from './fair-shares.js';
import { meanCost, type DemandRow } from './demand-rows.js';

export interface AdmissionPlanOptions {
  /** Requests a second of a tenant's limit; undefined: it has none. */
  limitOf(tenant: string): number | undefined;
  /** Share that each class gets at least, by rank, if that is above {@link MIN_CLASS_SHARE}; absent: none is. */
  readonly minimumShares?: readonly number[];
}

/** Shares of root requests that entry nodes admit while a service is short. */
export interface AdmissionPlan {
  /** Share of each class, by rank. */
  readonly shares: readonly number[];
  /** Class in which the capacity runs out; undefined: all demand fits. */
  readonly cutRank?: number;
  /** Shares of tenants in that class that differ from the share of the class. */
  readonly tenants: ReadonlyMap<string, number>;
}

/** Lowest share of a class, however little capacity there is, so that its costs stay known. */
export const MIN_CLASS_SHARE = 0.05;
const MAX_TENANTS = 64;
/** Differences from the share of the class up to this are not sent. */
const TENANT_TOLERANCE = 0.05;

/**
 * Fills the classes in strict order of priority. The minimum shares of the classes that follow are set aside
 * first, so that the admitted work adds up to the capacity.
 *
 * @param capacityMs slot time that the service can give, in milliseconds a second
 */
export function computeAdmissionPlan(
  demand: readonly DemandRow[],
  capacityMs: number,
  options: AdmissionPlanOptions,
): AdmissionPlan {
  const classes = costsByClass(demand);
  const minimum = (rank: number): number =>
    Math.max(MIN_CLASS_SHARE, options.minimumShares?.[rank] ?? 0);
  let setAside = classes.reduce((sum, { wanted }, rank) => sum + minimum(rank) * wanted, 0);
  let remaining = capacityMs;
  let cut: { readonly rank: number; readonly available: number } | undefined;
  const shares = classes.map(({ wanted }, rank) => {
    setAside -= minimum(rank) * wanted;
    if (cut !== undefined) return minimum(rank);
    const available = Math.max(minimum(rank) * wanted, remaining - setAside);
    if (wanted <= available) {
      remaining -= wanted;
      return 1;
    }
    cut = { rank, available };
    return available / wanted;
  });
  if (cut === undefined) return { shares, tenants: new Map() };
  const { rank, available } = cut;
  const tenants = tenantShares(classes[rank]!, shares[rank]!, available, options);
  return { shares, cutRank: rank, tenants };
}

/** Slot time that the demand of each class wants, by rank, in milliseconds a second. */
export function wantedByClass(demand: readonly DemandRow[]): readonly number[] {
  return costsByClass(demand).map(({ wanted }) => wanted);
}

/** Requests a second of each class, by rank. */
export function requestsByClass(demand: readonly DemandRow[]): readonly number[] {
  return costsByClass(demand).map(({ rows }) =>
    rows.reduce((sum, { perSecond }) => sum + perSecond, 0),
  );
}

/** Whether the plan refuses any request. */
export function isRestrictive({ shares }: AdmissionPlan): boolean {
  return shares.some((share) => share < 1);
}

interface ClassDemand {
  readonly rows: readonly DemandRow[];
  /** Mean cost of a request of the class; stands in for unknown costs. */
  readonly typicalMs: number;
  /** Slot time wanted, in milliseconds a second. */
  readonly wanted: number;
}

function costsByClass(demand: readonly DemandRow[]): readonly ClassDemand[] {
  const typicalOfAll = meanCost(demand);
  return CRITICALITIES.map((_, rank) => {
    const rows = demand.filter((row) => row.rank === rank);
    const typicalMs = meanCost(rows) || typicalOfAll;
    const wanted = rows.reduce(
      (sum, { perSecond, costMs = typicalMs }) => sum + perSecond * costMs,
      0,
    );
    return { rows, typicalMs, wanted };
  });
}

function tenantShares(
  { rows, typicalMs }: ClassDemand,
  classShare: number,
  available: number,
  { limitOf }: AdmissionPlanOptions,
): ReadonlyMap<string, number> {
  const demands = new Map<string, { wanted: number; perSecond: number }>();
  for (const { tenant, perSecond, costMs = typicalMs } of rows) {
    const known = demands.get(tenant) ?? { wanted: 0, perSecond: 0 };
    known.wanted += perSecond * costMs;
    known.perSecond += perSecond;
    demands.set(tenant, known);
  }
  if (demands.size < 2) return new Map();
  const weighed = [...demands].map(([tenant, { wanted, perSecond }]) => {
    return { tenant, wanted, weight: limitOf(tenant) ?? perSecond };
  });
  const differing = [...computeFairShares(weighed, available)].filter(
    ([, share]) => Math.abs(share - classShare) > TENANT_TOLERANCE,
  );
  const distance = (share: number): number => Math.abs(share - classShare);
  differing.sort(([, one], [, other]) => distance(other) - distance(one));
  return new Map(differing.slice(0, MAX_TENANTS));
}

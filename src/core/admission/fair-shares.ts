/**
 * Divides capacity among tenants by weighted max-min fairness: no tenant gets more than it wants, and what one
 * leaves goes to the others by their weights.
 *
 * @see docs/design/fair-shares.md
 */

/** What one tenant wants of the capacity. */
export interface TenantDemand {
  readonly tenant: string;
  /** Wanted capacity, in the unit of what is available. */
  readonly wanted: number;
  /** Weight in the division: the limit of the tenant, or its demand if it has no limit. */
  readonly weight: number;
}

/**
 * Returns the share, 0 to 1, that each tenant gets of what it wants. Tenants without a positive weight get only
 * what the others leave.
 *
 * @param demands one entry for each tenant
 */
export function computeFairShares(
  demands: readonly TenantDemand[],
  available: number,
): ReadonlyMap<string, number> {
  const shares = new Map<string, number>();
  const wanting: TenantDemand[] = [];
  for (const demand of demands) {
    if (demand.wanted > 0) wanting.push(demand);
    else shares.set(demand.tenant, 1);
  }
  const weighted = wanting.filter(({ weight }) => isWeight(weight));
  const rest = divide(weighted, Math.max(0, available) || 0, shares);
  const unweighted = wanting.filter(({ weight }) => !isWeight(weight));
  divide(
    unweighted.map(({ tenant, wanted }) => ({ tenant, wanted, weight: wanted })),
    rest,
    shares,
  );
  return shares;
}

function isWeight(weight: number): boolean {
  return weight > 0 && weight < Infinity;
}

/**
 * Serves tenants in ascending order of what they want for each unit of weight, so that each either gets all
 * that it wants or its part by weight of what is left.
 *
 * @returns capacity that nobody wants
 */
function divide(
  demands: readonly TenantDemand[],
  available: number,
  shares: Map<string, number>,
): number {
  const ascending = [...demands].sort((a, b) => a.wanted / a.weight - b.wanted / b.weight);
  let left = available;
  let weightLeft = demands.reduce((sum, { weight }) => sum + weight, 0);
  for (const { tenant, wanted, weight } of ascending) {
    const part = weightLeft > 0 ? Math.min(left, (left * weight) / weightLeft) : left;
    const granted = Math.min(wanted, part);
    shares.set(tenant, wanted === Infinity ? 0 : granted / wanted);
    left = Math.max(0, left - granted);
    weightLeft -= weight;
  }
  return left;
}

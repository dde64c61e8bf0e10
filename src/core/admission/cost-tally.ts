/** Adds up what an attempt and everything below it used of the slots of each service. */

/** Slot time by service, in milliseconds. */
export type ServiceCosts = ReadonlyMap<string, number>;

/** Most services in one cost; call graphs here have up to 5 levels. */
export const MAX_COST_SERVICES = 16;
/** Larger slot times of one request at one service are implausible and are ignored, in milliseconds. */
export const MAX_COST_MS = 1_000_000;

/** Whether a slot time can be added up: finite, not negative and not absurdly large. */
export function isPlausibleCost(ms: number): boolean {
  return ms >= 0 && ms <= MAX_COST_MS;
}

/** Slot times of one attempt. */
export class CostTally {
  private readonly byService = new Map<string, number>();

  /** Adds slot time at a service. Implausible values, and services beyond the maximum, are ignored. */
  add(service: string, ms: number): void {
    if (!isPlausibleCost(ms)) return;
    const known = this.byService.get(service);
    if (known === undefined && this.byService.size >= MAX_COST_SERVICES) return;
    this.byService.set(service, Math.min(MAX_COST_MS, (known ?? 0) + ms));
  }

  /** Adds the cost of a call. */
  addAll(cost: ServiceCosts): void {
    for (const [service, ms] of cost) this.add(service, ms);
  }

  /** Slot time by service so far. */
  get total(): ServiceCosts {
    return this.byService;
  }
}

/**
 * Learns what root requests use of the slots of each service, over their whole call graph. An entry node keeps
 * one instance and notes each root request that succeeded.
 *
 * @see docs/design/request-costs.md
 */
import { isPlausibleCost, MAX_COST_SERVICES, type ServiceCosts } from './cost-tally.js';

/** What root requests of one kind use at one service. */
export interface CostEstimate {
  /** Mean slot time of a request, in milliseconds. */
  readonly meanMs: number;
  /** Number of requests that the estimate is based on. */
  readonly samples: number;
  /** Time of the last sample. */
  readonly updatedAt: number;
}

/** Lowest weight of a new sample; the first samples weigh more, so that the estimate starts as their plain mean. */
const SAMPLE_WEIGHT = 0.05;
/**
 * Time constant with which an estimate is forgotten, in milliseconds. Few requests of a kind are served while it is
 * hardly admitted, so that what was learned in a slow moment would last as long as the shortage.
 */
const MEMORY_MS = 500;
const MAX_KEYS = 256;
/** Separates the parts of a key; neither names of routes nor of services contain it. */
const KEY_SEPARATOR = '\0';

interface KindCosts {
  readonly meanMs: Map<string, number>;
  samples: number;
  updatedAt: number;
}

/** Costs of root requests by kind and first service. */
export class RequestCosts {
  /** In order of use, the least recently used first. */
  private readonly byKey = new Map<string, KindCosts>();

  /**
   * Records the cost of a root request that succeeded.
   *
   * @param kind kind of the root request
   * @param service first service that it ran at
   */
  note(now: number, kind: string, service: string, cost: ServiceCosts): void {
    for (const ms of cost.values()) if (!isPlausibleCost(ms)) return;
    const key = kind + KEY_SEPARATOR + service;
    const known = this.use(key) ?? {
      meanMs: new Map<string, number>(),
      samples: 0,
      updatedAt: now,
    };
    if (known.samples === 0) this.insert(key, known);
    known.samples += 1;
    const forgotten = 1 - Math.exp((known.updatedAt - now) / MEMORY_MS);
    known.updatedAt = now;
    updateMeans(known.meanMs, cost, Math.max(SAMPLE_WEIGHT, 1 / known.samples, forgotten));
  }

  /**
   * Returns the estimate for requests of a kind at a service. Its mean is 0 when samples are known and none of
   * them used the service; it is undefined while there are no samples.
   *
   * @param service first service that the requests run at
   * @param shortService service whose slots are asked about
   */
  costAt(
    _now: number,
    kind: string,
    service: string,
    shortService: string,
  ): CostEstimate | undefined {
    const known = this.use(kind + KEY_SEPARATOR + service);
    if (known === undefined) return undefined;
    const { meanMs, samples, updatedAt } = known;
    return { meanMs: meanMs.get(shortService) ?? 0, samples, updatedAt };
  }

  private use(key: string): KindCosts | undefined {
    const known = this.byKey.get(key);
    if (known === undefined) return undefined;
    this.byKey.delete(key);
    this.byKey.set(key, known);
    return known;
  }

  private insert(key: string, costs: KindCosts): void {
    if (this.byKey.size >= MAX_KEYS) {
      for (const leastRecentlyUsed of this.byKey.keys()) {
        this.byKey.delete(leastRecentlyUsed);
        break;
      }
    }
    this.byKey.set(key, costs);
  }
}

/** A known service that the sample does not use counts with 0, since the request made no call to it. */
function updateMeans(means: Map<string, number>, cost: ServiceCosts, weight: number): void {
  for (const [service, mean] of means) {
    means.set(service, mean + weight * ((cost.get(service) ?? 0) - mean));
  }
  for (const [service, ms] of cost) {
    if (!means.has(service)) means.set(service, weight * ms);
  }
  if (means.size > MAX_COST_SERVICES) dropSmallest(means);
}

function dropSmallest(means: Map<string, number>): void {
  const ascending = [...means].sort(([, a], [, b]) => a - b);
  const excess = means.size - MAX_COST_SERVICES;
  for (const [service] of ascending.slice(0, excess)) means.delete(service);
}

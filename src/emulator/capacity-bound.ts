/**
 * Upper bound of the goodput that a deployment can reach; see docs/design/emulator.md.
 *
 * A request of a kind holds a slot of each service on its path for a mean time that follows
 * from the unloaded service times below it. A service has `targets * slots` slots. The bound
 * is a linear program: it maximises requests per second, where no service holds more slots than
 * it has and no kind exceeds its demand. Weights make the more important classes come first.
 */
import { rankOf } from '../core/request.js';
import type { CallSite, Deployment } from './deployment.js';
import { solveLinearProgram } from './linear-program.js';

const MS_PER_SECOND = 1_000;
/** Weight of a class relative to the next less important one. */
const CLASS_WEIGHT = 100;
const LOWEST_RANK = 3;

/** Available capacity of a service at one time. */
export interface ServiceCondition {
  /** Slots of all targets that can serve. */
  readonly slots: number;
  /** Factor on the service time, averaged over these targets. */
  readonly slowdown: number;
}

/** Conditions by service. */
export type Conditions = ReadonlyMap<string, ServiceCondition>;

/** Conditions without any fault. */
export function normalConditions(deployment: Deployment): Conditions {
  return new Map(
    deployment.services.map(({ name, slots, targets }) => [
      name,
      { slots: slots * targets.length, slowdown: 1 },
    ]),
  );
}

/** Returns the slot time that one request of a kind holds at each service, in milliseconds. */
export function slotTimes(
  deployment: Deployment,
  root: CallSite,
  conditions: Conditions,
): ReadonlyMap<string, number> {
  const times = new Map<string, number>();
  const visit = (site: CallSite): number => {
    const own = site.kind.serviceTimeMs * (conditions.get(site.service)?.slowdown ?? 1);
    const below = site.calls.map((call) => visit(call) + callOverheadMs(deployment));
    const waited = site.parallel ? Math.max(0, ...below) : below.reduce((sum, ms) => sum + ms, 0);
    const held = own + waited;
    times.set(site.service, (times.get(site.service) ?? 0) + held);
    return held;
  };
  visit(root);
  return times;
}

/**
 * Minimum time of a call besides the callee's slot time: from back end to node to back end and
 * back, six local delays in total.
 */
function callOverheadMs(deployment: Deployment): number {
  return 6 * deployment.localDelayMs;
}

/**
 * Returns the goodput bound per kind, in requests per second.
 *
 * @param demand requests per second by kind
 * @param prioritised whether more important classes come first; otherwise all count the same
 */
export function goodputBound(
  deployment: Deployment,
  conditions: Conditions,
  demand: readonly number[],
  prioritised: boolean,
): number[] {
  const perKind = deployment.kinds.map(({ root }) => slotTimes(deployment, root, conditions));
  const serviceRows = deployment.services.map(({ name }) =>
    perKind.map((times) => (times.get(name) ?? 0) / MS_PER_SECOND),
  );
  const demandRows = demand.map((_, row) => demand.map((__, column) => (row === column ? 1 : 0)));
  const slots = deployment.services.map(({ name }) => conditions.get(name)?.slots ?? 0);
  const weights = deployment.kinds.map(({ criticality }) =>
    prioritised ? CLASS_WEIGHT ** (LOWEST_RANK - rankOf(criticality)) : 1,
  );
  return solveLinearProgram({
    objective: weights,
    rows: [...serviceRows, ...demandRows],
    bounds: [...slots, ...demand],
  });
}

/**
 * Returns the requests per second by kind at load 1x, the highest that fits with the kinds' own
 * mix.
 */
export function capacityRates(deployment: Deployment): number[] {
  const conditions = normalConditions(deployment);
  const shares = deployment.kinds.map(({ share }) => share);
  const perKind = deployment.kinds.map(({ root }) => slotTimes(deployment, root, conditions));
  let loadFactor = Infinity;
  for (const { name } of deployment.services) {
    const held = perKind.reduce(
      (sum, times, kind) => sum + (shares[kind]! * (times.get(name) ?? 0)) / MS_PER_SECOND,
      0,
    );
    if (held > 0) loadFactor = Math.min(loadFactor, conditions.get(name)!.slots / held);
  }
  return shares.map((share) => share * loadFactor);
}

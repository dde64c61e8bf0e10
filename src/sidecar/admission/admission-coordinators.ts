/** The coordinator's side: keeps what other nodes report of short services and answers with plans. */
import { PlanCoordinator, type PlannedAdmission } from '../../core/admission/plan-coordinator.js';
import type { Clock } from '../../kernel/clock.js';
import type {
  AdmissionPort,
  CapacityReport,
  DemandReport,
  OnPlanReply,
} from './admission-messages.js';

/** Services that a node coordinates at the same time; few services of a system are short at once. */
const MAX_SERVICES = 16;
/** Time after the last report at which a coordinator is dropped, in milliseconds. */
const UNUSED_MS = 10_000;

export interface AdmissionCoordinatorsOptions {
  readonly clock: Clock;
  /** Requests a second of a tenant's limit; undefined: it has none. */
  readonly limitOf: (tenant: string) => number | undefined;
  /** Targets of a service whose nodes are reachable. */
  readonly reachableTargets: (service: string) => number;
  /** Called when a report holds figures that cannot be true. */
  onInvalid(node: string, service: string): void;
  /** See {@link PlanCoordinatorOptions.onPlanned}. */
  onPlanned(service: string, planned: PlannedAdmission): void;
}

/** Coordinators by service; each is created by the first report and has no timer. */
export class AdmissionCoordinators implements AdmissionPort {
  private readonly byService = new Map<string, PlanCoordinator>();

  constructor(private readonly options: AdmissionCoordinatorsOptions) {}

  reportDemand({ node, service, rows, invalid }: DemandReport, onReply: OnPlanReply): void {
    if (invalid > 0) this.options.onInvalid(node, service);
    const now = this.options.clock.now();
    const coordinator = this.of(now, service);
    coordinator?.noteDemand(now, node, rows);
    const plan = coordinator?.plan(now);
    onReply(plan === undefined ? { invalid: 0 } : { plan, invalid: 0 });
  }

  reportCapacity({ node, service, capacity }: CapacityReport): void {
    const now = this.options.clock.now();
    if (capacity === undefined) this.options.onInvalid(node, service);
    else this.of(now, service)?.noteCapacity(now, node, capacity);
  }

  private of(now: number, service: string): PlanCoordinator | undefined {
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    for (const [name, { usedAt }] of this.byService) {
      if (now - usedAt > UNUSED_MS) this.byService.delete(name);
    }
    if (this.byService.size >= MAX_SERVICES) return undefined;
    const { limitOf, reachableTargets, onPlanned } = this.options;
    const created = new PlanCoordinator({
      limitOf,
      reachableTargets: () => reachableTargets(service),
      onPlanned: (planned) => {
        onPlanned(service, planned);
      },
    });
    this.byService.set(service, created);
    return created;
  }
}

/** The calling side of each service: its router, its repeat budget and the ways to its targets. */
import type { OverloadPolicy, ServiceRouter } from '../../core/overload.js';
import type { Clock } from '../../kernel/clock.js';
import type { NodeDirectory } from '../directory/node-directory.js';
import { RepeatBudget, type RepeatBudgetOptions } from './repeat-budget.js';

/** One service as this node calls it. */
export interface CalledService {
  readonly router: ServiceRouter;
  readonly repeats: RepeatBudget;
}

/** What the routers work with. */
export interface ServiceRoutersOptions {
  readonly directory: NodeDirectory;
  readonly policy: OverloadPolicy;
  readonly clock: Clock;
  readonly zone: string;
  readonly region: string;
  readonly seed: number;
  readonly repeats: RepeatBudgetOptions;
}

/** See the module comment. */
export class ServiceRouters {
  private readonly services = new Map<string, CalledService>();

  constructor(private readonly options: ServiceRoutersOptions) {}

  /** The calling side of a service; made when it is first called. */
  of(service: string): CalledService {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const { policy, zone, region, seed, repeats } = this.options;
    const router = policy.createServiceRouter({
      service,
      localZone: zone,
      localRegion: region,
      seed: seed + this.services.size,
    });
    const created = { router, repeats: new RepeatBudget(repeats) };
    this.services.set(service, created);
    this.refresh(service);
    return created;
  }

  /** Reads the targets of a service again. */
  refresh(service: string): void {
    const { directory, clock } = this.options;
    const called = this.services.get(service);
    called?.router.updateTargets(clock.now(), directory.viewsOf(service));
  }
}

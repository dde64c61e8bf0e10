/** The calling side of each service: its router, its repeat budget and the ways to its targets. */
import type { OverloadPolicy, ServiceRouter } from '../../core/overload.js';
import { createRandom } from '../../core/random.js';
import type { Clock } from '../../kernel/clock.js';
import type { NodeDirectory } from '../directory/node-directory.js';
import { seedOf } from '../seed.js';
import { RepeatBudget, type RepeatBudgetOptions } from './repeat-budget.js';

/** One service as this node calls it. */
export interface CalledService {
  readonly router: ServiceRouter;
  readonly repeats: RepeatBudget;
  /** A try of a request begins. */
  noteTryStart(): void;
  /** A try of a request has ended. */
  noteTryEnd(): void;
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
  private readonly services = new Map<string, RoutedService>();

  constructor(private readonly options: ServiceRoutersOptions) {}

  /** The calling side of a service; made when it is first called. */
  of(service: string): CalledService {
    let called = this.services.get(service);
    if (called === undefined) {
      called = new RoutedService(service, this.options, this.services.size);
      this.services.set(service, called);
    }
    return called;
  }

  /** The targets of a service have changed; they are read again when it is next called. */
  refresh(service: string): void {
    this.services.get(service)?.markStale();
  }
}

/**
 * Reads the targets at their next use only. While a fleet starts, the records and links of hundreds of
 * nodes change one by one, and each change would build anew what a router knows of all targets.
 */
class RoutedService implements CalledService {
  readonly repeats: RepeatBudget;
  private readonly inner: ServiceRouter;
  private stale = true;
  private tries = 0;

  constructor(
    private readonly service: string,
    private readonly options: ServiceRoutersOptions,
    index: number,
  ) {
    const { policy, zone, region, seed, repeats } = options;
    this.repeats = new RepeatBudget(repeats, createRandom(seedOf(`${seed} repeats ${service}`)));
    this.inner = policy.createServiceRouter({
      service,
      localZone: zone,
      localRegion: region,
      seed: seed + index,
    });
  }

  get router(): ServiceRouter {
    if (this.stale) {
      this.stale = false;
      const { directory, clock } = this.options;
      this.inner.updateTargets(clock.now(), directory.viewsOf(this.service));
    }
    return this.inner;
  }

  noteTryStart(): void {
    this.tries += 1;
    if (this.options.directory.widen(this.service, this.tries)) this.stale = true;
  }

  noteTryEnd(): void {
    this.tries -= 1;
  }

  markStale(): void {
    this.stale = true;
  }
}

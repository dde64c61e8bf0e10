/** Routers and retry budgets of the services that this node calls. */
import type { OverloadPolicy, ServiceRouter } from '../../core/overload.js';
import { createRandom } from '../../core/random.js';
import type { Clock } from '../../kernel/clock.js';
import type { NodeDirectory } from '../directory/node-directory.js';
import { seedOf } from '../seed.js';
import { WindowedRetryBudget, type WindowedRetryBudgetOptions } from './windowed-retry-budget.js';

/** One service that this node calls. */
export interface CalledService {
  readonly router: ServiceRouter;
  readonly retryBudget: WindowedRetryBudget;
  /** Records the start of an attempt. */
  noteAttemptStart(): void;
  /** Records the end of an attempt. */
  noteAttemptEnd(): void;
}

export interface ServiceRoutersOptions {
  readonly directory: NodeDirectory;
  readonly policy: OverloadPolicy;
  readonly clock: Clock;
  readonly zone: string;
  readonly region: string;
  readonly seed: number;
  readonly retryBudget: WindowedRetryBudgetOptions;
}

/** Called services by name. */
export class ServiceRouters {
  private readonly services = new Map<string, RoutedService>();

  constructor(private readonly options: ServiceRoutersOptions) {}

  /** Returns a service; its router and budget are created at the first call. */
  of(service: string): CalledService {
    let called = this.services.get(service);
    if (called === undefined) {
      called = new RoutedService(service, this.options, this.services.size);
      this.services.set(service, called);
    }
    return called;
  }

  /** Marks the targets of a service as changed; they are read again when it is next called. */
  refresh(service: string): void {
    this.services.get(service)?.markStale();
  }
}

/**
 * Reads changed targets only when the router is next used. While a fleet starts, the records and links
 * of hundreds of nodes change one by one, and each change would rebuild the router's state of all targets.
 */
class RoutedService implements CalledService {
  readonly retryBudget: WindowedRetryBudget;
  private readonly inner: ServiceRouter;
  private stale = true;
  private attempts = 0;

  constructor(
    private readonly service: string,
    private readonly options: ServiceRoutersOptions,
    index: number,
  ) {
    const { policy, zone, region, seed, retryBudget } = options;
    this.retryBudget = new WindowedRetryBudget(
      retryBudget,
      createRandom(seedOf(`${seed} repeats ${service}`)),
    );
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

  noteAttemptStart(): void {
    this.attempts += 1;
    if (this.options.directory.widen(this.service, this.attempts)) this.stale = true;
  }

  noteAttemptEnd(): void {
    this.attempts -= 1;
  }

  markStale(): void {
    this.stale = true;
  }
}

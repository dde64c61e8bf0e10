/** An emulated node: the calling side's routers, made when a service is first called. */
import type { OverloadPolicy, ServiceRouter, TargetView } from '../core/overload.js';
import { deriveSeed } from './sampling.js';

/** What a node knows of the targets of a service. */
export type ViewOf = (service: string) => readonly TargetView[];

/** A call that a node routes, as faults of machines and zones act on it. */
export interface RoutedCall {
  /** The machine is gone, and the call with it. */
  discard(): void;
  /** The zone of the call's target may be gone. */
  onZoneLost(zone: string): void;
}

/** One node. */
export class EmulatedNode {
  private readonly routers = new Map<string, ServiceRouter>();
  /** Calls that this node routes now. */
  readonly calls = new Set<RoutedCall>();

  constructor(
    readonly id: string,
    readonly zone: string,
    private readonly region: string,
    private readonly policy: OverloadPolicy,
    private readonly seed: number,
    private readonly viewOf: ViewOf,
  ) {}

  /** The router of a service on this node. */
  router(service: string, now: number): ServiceRouter {
    let router = this.routers.get(service);
    if (router === undefined) {
      const seed = deriveSeed(this.seed, `router ${this.id} ${service}`);
      const options = { service, localZone: this.zone, localRegion: this.region, seed };
      router = this.policy.createServiceRouter(options);
      router.updateTargets(now, this.viewOf(service));
      this.routers.set(service, router);
    }
    return router;
  }

  /** Gives the routers of a service its targets as they are seen now. */
  updateTargets(service: string, now: number): void {
    this.routers.get(service)?.updateTargets(now, this.viewOf(service));
  }

  /** Admission threshold of a service for a kind, as this node knows it. */
  threshold(service: string, kind: string, now: number): number {
    return this.routers.get(service)?.threshold(now, kind) ?? 0;
  }

  /** The machine is gone with all calls in it; a new node takes its place later. */
  stop(): void {
    for (const call of this.calls) call.discard();
    this.calls.clear();
    this.routers.clear();
  }
}

/** An emulated node: routers for outgoing calls, created when a service is first called. */
import type { OverloadPolicy, ServiceRouter, TargetView } from '../core/overload.js';
import { deriveSeed } from './sampling.js';

/** Returns the targets of a service as a node sees them. */
export type TargetViewProvider = (service: string) => readonly TargetView[];

/** A call that a node routes, as seen by faults of machines and zones. */
export interface RoutedCall {
  /** The node's machine is lost, and the call with it. */
  discard(): void;
  /** A zone is lost; it may be that of the call's target. */
  onZoneLost(zone: string): void;
}

/** One node. */
export class EmulatedNode {
  private readonly routers = new Map<string, ServiceRouter>();
  /** Calls in progress that this node routes. */
  readonly calls = new Set<RoutedCall>();

  constructor(
    readonly id: string,
    readonly zone: string,
    private readonly region: string,
    private readonly policy: OverloadPolicy,
    private readonly seed: number,
    private readonly viewOf: TargetViewProvider,
  ) {}

  /** Returns the router of a service on this node. */
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

  /** Updates the targets of a service's router to the current view. */
  updateTargets(service: string, now: number): void {
    this.routers.get(service)?.updateTargets(now, this.viewOf(service));
  }

  /** Returns the admission threshold of a service for a kind, as this node knows it. */
  threshold(service: string, kind: string, now: number): number {
    return this.routers.get(service)?.threshold(now, kind) ?? 0;
  }

  /**
   * Discards all calls and routers when the machine is lost; a replacement node reuses this object.
   */
  stop(): void {
    for (const call of this.calls) call.discard();
    this.calls.clear();
    this.routers.clear();
  }
}

/** The call router: one overload router per service, and the calls in progress. */
import type { ClaimService } from '../claims/claim-service.js';
import type { ConfigStore } from '../config/config-store.js';
import type { ServiceRules } from '../config/rules.js';
import type { Settings } from '../config/settings.js';
import { minimalNeed } from '../core/attempt-budget.js';
import { createFailure } from '../core/failure.js';
import type { OverloadPolicy, ServiceRouter } from '../core/overload.js';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import { callGraphOf } from '../target/attempt-reservation.js';
import type { TargetPlacement } from '../target/target-placement.js';
import { AttemptSource } from './attempt-source.js';
import type { CallResult, CallRouter, InboundCall } from './call-router.js';
import { ClaimGuard } from './claim-guard.js';
import { RoutedCall } from './routed-call.js';
import type { TargetCaller } from './target-caller.js';

export interface ServiceCallRouterOptions {
  readonly settings: Settings;
  readonly config: ConfigStore;
  readonly claims: ClaimService;
  readonly policy: OverloadPolicy;
  readonly placement: TargetPlacement;
  readonly caller: TargetCaller;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Differs at each start of the node, so that attempt ids are never reused. */
  readonly incarnation: string;
  /** Seed of the routers' random numbers. */
  readonly seed: number;
}

export class ServiceCallRouter implements CallRouter {
  private readonly routers = new Map<string, ServiceRouter>();
  private readonly needs = new Map<string, number>();
  private running = 0;
  private attemptCount = 0;

  constructor(private readonly options: ServiceCallRouterOptions) {}

  get inProgress(): number {
    return this.running;
  }

  async route(call: InboundCall, signal: AbortSignal): Promise<CallResult> {
    this.running += 1;
    try {
      return await this.createRoutedCall(call, signal).run();
    } catch (error) {
      this.options.log.emit(Event.InternalError, { error: describeError(error) });
      const failure = createFailure(ResultCode.Internal, 'internal error');
      return { type: 'failure', failure, attemptsUsed: call.attempts };
    } finally {
      this.running -= 1;
    }
  }

  /** Admission threshold of a kind as this node sees it, 0 when the service was not called. */
  thresholdOf(tenant: string, service: string, kind: string): number {
    const router = this.routers.get(keyOf(tenant, service));
    return router?.threshold(this.options.clock.now(), kind) ?? 0;
  }

  /** Reads targets and rules again; call after each change of members or rules. */
  refresh(): void {
    this.needs.clear();
    this.options.placement.refresh();
    for (const { tenant, rules } of this.options.config.records()) {
      for (const service of rules.services) this.updateTargets(tenant, service);
    }
  }

  private updateTargets(tenant: string, service: ServiceRules): void {
    const router = this.routers.get(keyOf(tenant, service.name));
    const views = this.options.placement.viewsOf(service);
    router?.updateTargets(this.options.clock.now(), views);
  }

  private createRoutedCall(call: InboundCall, signal: AbortSignal): RoutedCall {
    const { claims, caller, clock } = this.options;
    const { tenant, idempotent } = call.context;
    const key = call.idempotencyKey;
    const createAttemptId = (): string => this.createAttemptId();
    const base = {
      call,
      signal,
      router: this.routerOf(tenant, call.service),
      attempts: new AttemptSource(call, this.needOf(tenant, call.service.name), claims),
      caller,
      clock,
      createAttemptId,
    };
    if (idempotent || key === undefined) return new RoutedCall(base);
    const claim = new ClaimGuard(claims, call, key, createAttemptId());
    return new RoutedCall({ ...base, claim });
  }

  private routerOf(tenant: string, service: ServiceRules): ServiceRouter {
    const key = keyOf(tenant, service.name);
    const existing = this.routers.get(key);
    if (existing !== undefined) return existing;
    const { settings, policy, seed } = this.options;
    const created = policy.createServiceRouter({
      service: service.name,
      localZone: settings.node.zone,
      localRegion: settings.node.region,
      seed: seed + this.routers.size,
    });
    this.routers.set(key, created);
    this.updateTargets(tenant, service);
    return created;
  }

  private needOf(tenant: string, service: string): number {
    const key = keyOf(tenant, service);
    const known = this.needs.get(key);
    if (known !== undefined) return known;
    const need = minimalNeed(service, callGraphOf(this.options.config, tenant));
    this.needs.set(key, need);
    return need;
  }

  private createAttemptId(): string {
    this.attemptCount += 1;
    const { settings, incarnation } = this.options;
    return `${settings.node.id}.${incarnation}.${this.attemptCount.toString(36)}`;
  }
}

function keyOf(tenant: string, service: string): string {
  return `${tenant}/${service}`;
}

function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}

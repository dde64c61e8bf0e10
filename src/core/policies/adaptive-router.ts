/**
 * The calling side of policy `adaptive`: admission by the thresholds that answers carry,
 * routing by load, retries within a budget.
 *
 * @see docs/design/overload-control.md
 */
import { admissionPriority } from '../admission/admission-priority.js';
import { ServiceTime } from '../limit/service-time.js';
import type {
  AttemptReport,
  PickResult,
  Refusal,
  RetryDecision,
  RetryState,
  ServiceRouter,
  ServiceRouterOptions,
  TargetView,
} from '../overload.js';
import { createRandom, type Random } from '../random.js';
import type { RequestContext } from '../request.js';
import { ResultCode } from '../result-code.js';
import { RetryAfterEstimate } from '../retry/retry-after.js';
import type { RetryBudget } from '../retry/retry-budget.js';
import { RetryPolicy } from '../retry/retry-policy.js';
import type { Locality } from '../routing/load-score.js';
import type { TargetChoice } from '../routing/target-choice.js';
import { TargetSet } from '../routing/target-set.js';
import type { TargetState } from '../routing/target-state.js';

export interface AdaptiveRouterParts {
  readonly choose: TargetChoice;
  readonly retryBudget: RetryBudget;
}

/** Share of its limit below which a target clearly has spare capacity. */
const SPARE_CAPACITY_SHARE = 0.8;

/** Admission, routing and retries towards one service. */
export class AdaptiveRouter implements ServiceRouter {
  private readonly targets = new TargetSet();
  private readonly random: Random;
  private readonly locality: Locality;
  private readonly retries: RetryPolicy;
  private readonly latency = new ServiceTime();
  private readonly retryAfter = new RetryAfterEstimate();

  constructor(
    private readonly options: ServiceRouterOptions,
    private readonly parts: AdaptiveRouterParts,
  ) {
    this.random = createRandom(options.seed);
    this.locality = { zone: options.localZone, region: options.localRegion };
    this.retries = new RetryPolicy(parts.retryBudget, this.random);
  }

  updateTargets(now: number, targets: readonly TargetView[]): void {
    this.targets.update(now, targets);
  }

  admit(now: number, request: RequestContext): Refusal | undefined {
    // Work has been spent upstream; the gate, which knows the current load, decides.
    if (request.depth > 0) return undefined;
    if (admissionPriority(request) >= this.threshold(now, request.kind)) return undefined;
    return this.refuse(now, request, ResultCode.AdmissionRefused, 'refused for load');
  }

  pick(now: number, request: RequestContext, tried: readonly string[]): PickResult {
    const healthy = this.targets.healthy(now);
    const untried =
      tried.length === 0 ? healthy : healthy.filter(({ view }) => !tried.includes(view.id));
    const candidates = untried.length > 0 ? untried : healthy;
    if (candidates.length === 0) {
      const refusal = this.refuse(now, request, ResultCode.NoTargetAvailable, 'no target');
      return { type: 'refuse', refusal };
    }
    const priority = admissionPriority(request);
    const admitting = candidates.filter(
      (target) => target.threshold(now, request.kind) <= priority,
    );
    const choices = admitting.length > 0 ? admitting : candidates;
    const target = this.parts.choose(now, choices, this.locality, this.random);
    target.outstanding += 1;
    target.health.noteSent();
    return { type: 'target', target: target.view.id };
  }

  onOutcome(now: number, outcome: AttemptReport): void {
    this.targets.find(outcome.target)?.noteOutcome(now, outcome);
    this.latency.note(now, outcome.kind ?? '', outcome.latencyMs, outcome.outcome);
    if (outcome.outcome === 'success') this.parts.retryBudget.earn();
  }

  decideRetry(now: number, request: RequestContext, state: RetryState): RetryDecision {
    return this.retries.decide(request, state, {
      now,
      hasSpareCapacity: this.hasSpareCapacity(now, request),
      typicalLatencyMs: this.latency.ofKind(request.kind) ?? 0,
      retryAfterMs: () =>
        Math.max(this.retryAfter.next(now, request.requestId), state.retryAfterMs ?? 0),
    });
  }

  threshold(now: number, kind = ''): number {
    let lowest = Infinity;
    for (const target of this.targets.healthy(now)) {
      lowest = Math.min(lowest, target.threshold(now, kind));
    }
    return lowest === Infinity ? 0 : lowest;
  }

  private hasSpareCapacity(now: number, request: RequestContext): boolean {
    const priority = admissionPriority(request);
    return this.targets.healthy(now).some((target) => canTake(now, target, request, priority));
  }

  private refuse(now: number, request: RequestContext, code: ResultCode, detail: string): Refusal {
    const retryAfterMs = this.retryAfter.next(now, request.requestId);
    return { code, detail: `${detail} (${this.options.service})`, retryAfterMs };
  }
}

function canTake(
  now: number,
  target: TargetState,
  request: RequestContext,
  priority: number,
): boolean {
  const report = target.freshReport(now);
  if (report === undefined || report.queued > 0) return false;
  if (target.threshold(now, request.kind) > priority) return false;
  return target.load(now) < SPARE_CAPACITY_SHARE * report.limit;
}

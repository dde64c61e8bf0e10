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
import { rankOf, type RequestContext } from '../request.js';
import { ResultCode } from '../result-code.js';
import { RetryAfterEstimate } from '../retry/retry-after.js';
import type { RetryBudget } from '../retry/retry-budget.js';
import { RetryPolicy } from '../retry/retry-policy.js';
import { RetrySchedule } from '../retry/retry-schedule.js';
import type { Locality, TimeFactor } from '../routing/load-score.js';
import { ServiceSpeeds } from '../routing/relative-speed.js';
import type { TargetChoice } from '../routing/target-choice.js';
import { TargetSet } from '../routing/target-set.js';
import type { TargetState } from '../routing/target-state.js';

export interface AdaptiveRouterParts {
  readonly choose: TargetChoice;
  readonly retryBudget: RetryBudget;
}

/** Longest retry time while all targets are at the request limits that they state, in milliseconds. */
const MAX_RATE_RETRY_AFTER_MS = 5_000;
/** Share of its limit below which a target clearly has spare capacity. */
const SPARE_CAPACITY_SHARE = 0.8;
/**
 * Requests with less than so many times the typical time of their kind left to their objective go by the
 * speed of targets: a run at the tail, of 7 times the usual time, just fits within it.
 */
const TIGHT_TYPICAL_TIMES = 8;

/** Admission, routing and retries towards one service. */
export class AdaptiveRouter implements ServiceRouter {
  private readonly targets = new TargetSet();
  private readonly random: Random;
  private readonly locality: Locality;
  private readonly retries: RetryPolicy;
  private readonly latency = new ServiceTime();
  private readonly speeds = new ServiceSpeeds();
  private readonly retryAfter = new RetryAfterEstimate();
  private readonly rateRetries = new RetrySchedule(MAX_RATE_RETRY_AFTER_MS);

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
    const open = choices.filter((target) => !target.isShareUsed(now, rankOf(request.criticality)));
    if (open.length === 0 && request.depth === 0) {
      return { type: 'refuse', refusal: this.refuseAtRate(now, candidates) };
    }
    // Work has been spent upstream for a nested call; the gate, where it goes first, decides.
    const preferred = open.length > 0 ? open : choices;
    const timeFactor = this.timeFactorFor(now, request);
    const target = this.parts.choose(now, preferred, this.locality, this.random, timeFactor);
    target.noteSent(now);
    return { type: 'target', target: target.view.id };
  }

  onOutcome(now: number, outcome: AttemptReport): void {
    const { kind = '', load } = outcome;
    this.targets.find(outcome.target)?.noteOutcome(now, outcome);
    this.latency.note(now, kind, outcome.latencyMs, outcome.outcome);
    if (load !== undefined) this.speeds.note(now, kind, load);
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

  /** Undefined: the request has slack, or targets state no slowdown; then the load alone decides. */
  private timeFactorFor(now: number, request: RequestContext): TimeFactor | undefined {
    const typicalMs = this.speeds.typicalMs(request.kind);
    if (typicalMs === undefined) return undefined;
    const { deadline, dueAt = deadline } = request;
    if (dueAt - now >= TIGHT_TYPICAL_TIMES * typicalMs) return undefined;
    this.speeds.compare(now, this.targets.eligible());
    return ({ speed }) => speed.timeFactor(now);
  }

  private hasSpareCapacity(now: number, request: RequestContext): boolean {
    const priority = admissionPriority(request);
    return this.targets.healthy(now).some((target) => canTake(now, target, request, priority));
  }

  private refuseAtRate(now: number, candidates: readonly TargetState[]): Refusal {
    const perSecond = candidates.reduce(
      (sum, target) => sum + target.rateLimitedShare.ratePerSecond(now),
      0,
    );
    return {
      code: ResultCode.TargetRateLimited,
      detail: `all targets are at the request limits that they state (${this.options.service})`,
      retryAfterMs: Math.ceil(this.rateRetries.next(now, 1, perSecond)),
    };
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

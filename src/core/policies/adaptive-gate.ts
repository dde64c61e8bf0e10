/**
 * The target gate of policy `adaptive`: an adaptive concurrency limit, a queue by
 * criticality and deadline that is bounded by time, and an admission threshold that is
 * also reported up the call chain.
 *
 * @see docs/design/overload-control.md
 */
import {
  admissionPriority,
  thresholdForClassShare,
  classUpperBound,
} from '../admission/admission-priority.js';
import {
  DownstreamThresholds,
  type DownstreamThreshold,
} from '../admission/downstream-thresholds.js';
import { WastedRuns } from '../admission/wasted-runs.js';
import type { ThresholdController } from '../admission/threshold-controller.js';
import type { ConcurrencyLimit } from '../limit/concurrency-limit.js';
import { RequestRateLimit } from '../limit/request-rate-limit.js';
import { ServiceTime } from '../limit/service-time.js';
import type { GateAction, StatedLoad, TargetGate } from '../overload.js';
import { FailureShare } from '../routing/failure-share.js';
import { BoundedQueue } from '../queue/bounded-queue.js';
import {
  type GateSlots,
  isBelow,
  type QueueDiscipline,
  type Rejection,
} from '../queue/queue-discipline.js';
import { ObjectiveQueue } from '../queue/objective-queue.js';
import { WaitForecast } from '../queue/wait-forecast.js';
import { StatedSlowdown } from '../queue/stated-slowdown.js';
import type { WaitingQueue, WaitingRequest } from '../queue/waiting-queue.js';
import type { AttemptOutcome, LoadReport, RequestContext } from '../request.js';
import { ResultCode } from '../result-code.js';
import { RetryAfterEstimate } from '../retry/retry-after.js';
import { InFlight } from './in-flight.js';

export interface AdaptiveGateOptions {
  readonly limit: ConcurrencyLimit;
  readonly queue: WaitingQueue;
  readonly controller: ThresholdController;
  /** Longest expected wait of the last request in the queue, in milliseconds. */
  readonly maxWaitMs: number;
  /** Whether the gate queues by objective once its target states its slowdown. */
  readonly objectiveQueue: 'auto' | 'off';
}

export { MAX_QUEUED_PER_SLOT } from '../queue/queue-discipline.js';

/** Smallest bound of the queue's length while the target's stated request limit holds requests back. */
const MIN_QUEUED_AT_RATE = 2;
/** Share of the time to its objective that a request may wait for the stated request limit. */
const MAX_RATE_WAIT_SHARE = 0.25;

const MS_PER_SECOND = 1_000;

/**
 * Nested calls pass when they are below the threshold by no more than this, a third of a
 * class: their requests were admitted a moment ago, and a refusal would waste the work spent on
 * them. With a tolerance of a whole class, root requests starve at the gate.
 */
const NESTED_TOLERANCE = 0.08;

/**
 * Time after a refusal for which the gate counts as short of slots although its threshold is not engaged, in
 * milliseconds. A queue by objective refuses calls at the start of a burst some 0.2 s before the threshold engages,
 * and each refusal loses a run.
 */
const SHORT_AFTER_REJECTION_MS = 1_000;

/** Limit, queue and admission of one target. */
export class AdaptiveGate implements TargetGate, GateSlots {
  private readonly dispatched = new InFlight();
  private readonly serviceTime = new ServiceTime();
  private readonly downstream = new DownstreamThresholds();
  private readonly retryAfter = new RetryAfterEstimate();
  private readonly failures = new FailureShare();
  private readonly wastedRuns = new WastedRuns();
  private readonly rate = new RequestRateLimit();
  private readonly slowdown = new StatedSlowdown();
  /** When the stated request limit lets the next waiting request start; undefined: it holds none back. */
  private rateResumesAt: number | undefined;
  /** Service of the target; undefined until a request was offered. */
  private service: string | undefined;
  /** When the queue last refused a request. */
  private rejectedAt = -Infinity;
  private queue: QueueDiscipline;
  private queuesByObjective = false;

  constructor(private readonly options: AdaptiveGateOptions) {
    const { queue, maxWaitMs } = options;
    const { serviceTime } = this;
    this.queue = new BoundedQueue({ queue, maxWaitMs, serviceTime, slots: this });
  }

  /** Present concurrency limit. */
  get limit(): number {
    return this.options.limit.current();
  }

  /** Requests dispatched and not yet ended. */
  get inFlight(): number {
    return this.dispatched.size;
  }

  /** The gate's own admission threshold. */
  get threshold(): number {
    return this.options.controller.threshold;
  }

  offer(now: number, ticket: number, request: RequestContext): readonly GateAction[] {
    this.service = request.service;
    this.updateThreshold(now);
    const waiting = this.createWaiting(now, ticket, request);
    const below = this.downstream.highest(now, request.kind);
    if (isBelow(waiting, below.threshold)) {
      const detail = `refused for load of ${below.service}, called below ${request.service}`;
      return [this.refuse(now, waiting, ResultCode.AdmissionRefused, detail)];
    }
    if (request.depth === 0 && this.wastedRuns.refuses(now, request)) {
      const detail = `refused for load below ${request.service}`;
      return [this.refuse(now, waiting, ResultCode.AdmissionRefused, detail)];
    }
    const { queue } = this;
    this.options.controller.noteOffered(now, admissionPriority(request), waiting.serviceMs);
    queue.noteOffered(now, waiting);
    const code = queue.refusalOnArrival(now, waiting);
    if (code !== undefined) return [this.reject(now, { waiting, code })];
    if (this.waitsTooLongForRate(now, waiting)) return [this.refuseAtRate(now, waiting)];
    const displaced = queue.add(now, waiting);
    if (displaced.length > 0) return displaced.map((rejection) => this.reject(now, rejection));
    return [...this.drain(now), ...this.evictExcess(now)];
  }

  complete(now: number, ticket: number, outcome: AttemptOutcome): readonly GateAction[] {
    const inFlight = this.inFlight;
    const ended = this.dispatched.end(ticket);
    if (ended === undefined) return [];
    const latencyMs = now - ended.startedAt;
    this.failures.note(now, outcome);
    this.serviceTime.note(now, ended.kind, latencyMs, outcome);
    if (outcome === 'success') this.queue.noteServed(now, ended.kind, latencyMs);
    const { limit } = this.options;
    const queued = this.queue.length > 0 && inFlight >= limit.current();
    limit.onComplete({ now, kind: ended.kind, latencyMs, outcome, inFlight, queued });
    this.updateThreshold(now);
    return this.drain(now);
  }

  cancel(now: number, ticket: number): readonly GateAction[] {
    this.queue.remove(ticket);
    return this.drain(now);
  }

  onTimer(now: number): readonly GateAction[] {
    this.updateThreshold(now);
    return this.drain(now);
  }

  nextTimer(): number | undefined {
    const giveUpAt = this.queue.earliestGiveUp();
    if (giveUpAt === undefined || this.rateResumesAt === undefined) return giveUpAt;
    return Math.min(giveUpAt, this.rateResumesAt);
  }

  report(now: number, request?: RequestContext): LoadReport {
    this.updateThreshold(now);
    const { requestsPerSecond } = this.rate;
    const below = this.downstream.highest(now, request?.kind ?? '');
    const shortService = this.shortService(now, below);
    const wasted = request === undefined ? 0 : this.wastedThreshold(now, request);
    const slowdown = this.slowdownAt(now);
    return {
      inFlight: this.inFlight,
      queued: this.queue.length,
      limit: this.limit,
      latencyMs: this.serviceTime.mean(),
      threshold: Math.max(this.threshold, below.threshold, wasted),
      failureShare: this.failures.at(now),
      ...(shortService === undefined ? {} : { shortService }),
      ...(requestsPerSecond === undefined ? {} : { requestLimit: requestsPerSecond }),
      ...(slowdown === undefined ? {} : { slowdown, ...this.kindLatency(request) }),
    };
  }

  noteDownstream(
    now: number,
    service: string,
    threshold: number,
    kind?: string,
    shortService?: string,
  ): void {
    this.downstream.note(now, service, threshold, kind, shortService);
  }

  noteWastedRun(now: number, request: RequestContext): void {
    if (request.depth === 0) this.wastedRuns.note(now, request);
  }

  noteStatedLimit(
    now: number,
    sentAt: number,
    requestsPerSecond: number | undefined,
  ): readonly GateAction[] {
    const before = this.rate.requestsPerSecond;
    this.rate.note(now, sentAt, requestsPerSecond);
    if (this.rate.requestsPerSecond === before) return [];
    return [...this.drain(now), ...this.evictExcess(now)];
  }

  statedLimit(): number | undefined {
    return this.rate.requestsPerSecond;
  }

  /**
   * Service that lacks slots. Undefined while only wasted runs set the threshold: they do not show which
   * service below refused them, and the wrong one would be protected.
   */
  private shortService(now: number, below: DownstreamThreshold): string | undefined {
    const own = this.threshold;
    if (own > 0 && own >= below.threshold) return this.service;
    if (below.threshold > 0) return below.shortService ?? below.service;
    return now - this.rejectedAt <= SHORT_AFTER_REJECTION_MS ? this.service : undefined;
  }

  noteStatedLoad(now: number, { slowdown }: StatedLoad): readonly GateAction[] {
    if (slowdown === undefined) return [];
    this.slowdown.note(now, slowdown);
    if (this.queuesByObjective || this.options.objectiveQueue === 'off') return [];
    this.queueByObjective(now);
    return this.drain(now);
  }

  /** Present slowdown of the target, as it states; undefined: not stated. */
  slowdownAt(now: number): number | undefined {
    return this.slowdown.at(now);
  }

  /** Part of the load report for routing by speed. */
  private kindLatency(request: RequestContext | undefined): { readonly kindLatencyMs?: number } {
    const kindLatencyMs = request && this.serviceTime.ofKind(request.kind);
    return kindLatencyMs === undefined ? {} : { kindLatencyMs };
  }

  /** Replaces the queue; requests that wait in the present one keep waiting. */
  private queueByObjective(now: number): void {
    const { slowdown, serviceTime, queue: bounded } = this;
    const forecast = new WaitForecast({ slots: this, slowdown, serviceTime });
    const byObjective = new ObjectiveQueue(this, forecast);
    for (let next = bounded.takeLowest(); next !== undefined; next = bounded.takeLowest()) {
      byObjective.adopt(now, next);
    }
    this.queue = byObjective;
    this.queuesByObjective = true;
  }

  private wastedThreshold(now: number, request: RequestContext): number {
    const share = request.depth === 0 ? this.wastedRuns.shareOf(now, request) : 0;
    return share === 0 ? 0 : thresholdForClassShare(request, share);
  }

  private createWaiting(now: number, ticket: number, request: RequestContext): WaitingRequest {
    const serviceMs = this.estimate(now, request.kind);
    const latestStart = request.deadline - serviceMs;
    const isProbe = latestStart <= now && !this.dispatched.hasKind(request.kind);
    // A probe finds out whether the service time has come down again.
    const giveUpAt = isProbe ? request.deadline : latestStart;
    return { ticket, request, priority: gatePriority(request), serviceMs, giveUpAt };
  }

  private drain(now: number): GateAction[] {
    const { queue } = this;
    const actions = queue.takeExpired(now).map((waiting) => this.refuseLate(now, waiting));
    this.rateResumesAt = undefined;
    for (;;) {
      if (this.isRateReached(now)) {
        if (queue.hasStartable(now)) this.rateResumesAt = this.rate.startableAt(now);
        return actions;
      }
      const next = queue.takeNext(now);
      if (next === undefined) return actions;
      actions.push(this.isLate(now, next) ? this.refuseLate(now, next) : this.start(now, next));
    }
  }

  private start(now: number, { ticket, request }: WaitingRequest): GateAction {
    this.dispatched.start(now, ticket, request.kind);
    this.rate.noteStart(now);
    return { type: 'dispatch', ticket };
  }

  /** Whether, by the newest estimate, the answer would come after the deadline. */
  private isLate(now: number, { request }: WaitingRequest): boolean {
    const { kind, deadline } = request;
    return now + this.estimate(now, kind) > deadline && this.dispatched.hasKind(kind);
  }

  private evictExcess(now: number): GateAction[] {
    const { queue } = this;
    const actions: GateAction[] = [];
    while (this.isRateReached(now) && queue.length > this.maxQueuedAtRate()) {
      actions.push(this.refuseAtRate(now, queue.takeLowest()!));
    }
    for (const rejection of queue.takeExcess(now)) actions.push(this.reject(now, rejection));
    return actions;
  }

  private isRateReached(now: number): boolean {
    return this.rate.startableAt(now) > now;
  }

  /** Whether the request would lose much of its value while it waits for the stated request limit. */
  private waitsTooLongForRate(now: number, waiting: WaitingRequest): boolean {
    const ahead = this.queue.countAhead(now, waiting);
    const startAt = this.rate.startableAt(now, ahead + 1);
    const { deadline, dueAt = deadline } = waiting.request;
    return startAt > now + Math.max(0, dueAt - now) * MAX_RATE_WAIT_SHARE;
  }

  private maxQueuedAtRate(): number {
    const { requestsPerSecond = Infinity } = this.rate;
    const perWait = (this.options.maxWaitMs / MS_PER_SECOND) * requestsPerSecond;
    return Math.max(MIN_QUEUED_AT_RATE, Math.ceil(perWait));
  }

  /** Not counted as a refusal for load: the target's slots are free. */
  private refuseAtRate(now: number, { ticket, request }: WaitingRequest): GateAction {
    const code = ResultCode.TargetRateLimited;
    const detail = `the request limit that a target of ${request.service} states is reached`;
    const freeAt = this.rate.startableAt(now, this.queue.length + 1);
    const retryAfterMs = Math.ceil(Math.max(this.rate.spacingMs, freeAt - now));
    return { type: 'refuse', ticket, refusal: { code, detail, retryAfterMs } };
  }

  private reject(now: number, { waiting, code }: Rejection): GateAction {
    this.rejectedAt = now;
    if (code === ResultCode.DeadlineUnreachable) return this.refuseLate(now, waiting);
    return this.refuse(now, waiting, code, `refused for load of ${waiting.request.service}`);
  }

  private refuseLate(now: number, waiting: WaitingRequest): GateAction {
    const detail = 'the answer would come after the deadline';
    return this.refuse(now, waiting, ResultCode.DeadlineUnreachable, detail);
  }

  private refuse(
    now: number,
    { ticket, request }: WaitingRequest,
    code: ResultCode,
    detail: string,
  ): GateAction {
    this.options.controller.noteRefused(now);
    const retryAfterMs = this.retryAfter.next(now, request.requestId);
    return { type: 'refuse', ticket, refusal: { code, detail, retryAfterMs } };
  }

  private estimate(now: number, kind: string): number {
    return this.queue.serviceMs(now, kind) ?? 0;
  }

  private updateThreshold(now: number): void {
    // Requests that wait for the stated request limit, with slots free, show no load of the target.
    const queued = this.isRateReached(now) ? 0 : this.queue.length;
    const { slots: limit, ...wait } = this.queue.waitOf(now, queued);
    this.options.controller.update(now, { limit, inFlight: this.inFlight, queued, ...wait });
  }
}

/**
 * Priority at the gate, raised for requests on which work has been spent upstream. Calls of a run whose
 * earlier calls have been served get the top priority of their class, so that mostly only the first of
 * several calls is refused.
 */
function gatePriority(request: RequestContext): number {
  const priority = admissionPriority(request);
  if (request.depth === 0) return priority;
  const tolerated = priority + NESTED_TOLERANCE;
  return request.committed === true ? Math.max(tolerated, classUpperBound(request)) : tolerated;
}

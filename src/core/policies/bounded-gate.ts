/**
 * A target gate made of a concurrency limit and a queue bounded by count, without
 * admission by criticality: the gate of the baselines.
 */
import type { ConcurrencyLimit } from '../limit/concurrency-limit.js';
import { RequestRateLimit } from '../limit/request-rate-limit.js';
import type { GateAction, Refusal, TargetGate } from '../overload.js';
import type { WaitingQueue, WaitingRequest } from '../queue/waiting-queue.js';
import type { AttemptOutcome, LoadReport, RequestContext } from '../request.js';
import { ResultCode } from '../result-code.js';
import { InFlight } from './in-flight.js';

export interface BoundedGateOptions {
  readonly limit: ConcurrencyLimit;
  readonly queue: WaitingQueue;
  /** Maximum number of waiting requests. */
  readonly maxQueued: number;
  /** Whether a waiting request is refused at its deadline; else it is dispatched too late. */
  readonly refusesAtDeadline: boolean;
}

/** Retry time on every refusal of a baseline, in milliseconds. */
export const BASELINE_RETRY_AFTER_MS = 100;

const LATENCY_SMOOTHING = 0.1;

/** Limit and queue of one target. */
export class BoundedGate implements TargetGate {
  private readonly inFlight = new InFlight();
  private readonly rate = new RequestRateLimit();
  private rateResumesAt: number | undefined;
  private latencyMs = 0;

  constructor(private readonly options: BoundedGateOptions) {}

  offer(now: number, ticket: number, request: RequestContext): readonly GateAction[] {
    const { queue, maxQueued } = this.options;
    queue.add({ ticket, request, priority: 0, serviceMs: 0, giveUpAt: request.deadline });
    const actions = this.drain(now);
    if (queue.length <= maxQueued) return actions;
    const last = queue.takeLowest()!;
    return [...actions, refuse(last.ticket, ResultCode.QueueFull, 'queue full')];
  }

  complete(now: number, ticket: number, outcome: AttemptOutcome): readonly GateAction[] {
    const inFlight = this.inFlight.size;
    const ended = this.inFlight.end(ticket);
    if (ended === undefined) return [];
    const { startedAt, kind } = ended;
    const latencyMs = now - startedAt;
    this.latencyMs += LATENCY_SMOOTHING * (latencyMs - this.latencyMs);
    const queued = this.options.queue.length > 0;
    this.options.limit.onComplete({ now, kind, latencyMs, outcome, inFlight, queued });
    return this.drain(now);
  }

  cancel(_now: number, ticket: number): readonly GateAction[] {
    this.options.queue.remove(ticket);
    return [];
  }

  onTimer(now: number): readonly GateAction[] {
    return this.drain(now);
  }

  nextTimer(): number | undefined {
    const { queue, refusesAtDeadline } = this.options;
    const giveUpAt = refusesAtDeadline ? queue.earliestGiveUp() : undefined;
    return this.rateResumesAt === undefined
      ? giveUpAt
      : Math.min(giveUpAt ?? Infinity, this.rateResumesAt);
  }

  report(): LoadReport {
    const { limit, queue } = this.options;
    const { requestsPerSecond } = this.rate;
    return {
      inFlight: this.inFlight.size,
      queued: queue.length,
      limit: limit.current(),
      latencyMs: this.latencyMs,
      threshold: 0,
      ...(requestsPerSecond === undefined ? {} : { requestLimit: requestsPerSecond }),
    };
  }

  noteDownstream(): void {}

  noteWastedRun(): void {}

  noteStatedLimit(
    now: number,
    sentAt: number,
    requestsPerSecond: number | undefined,
  ): readonly GateAction[] {
    this.rate.note(now, sentAt, requestsPerSecond);
    return this.drain(now);
  }

  statedLimit(): number | undefined {
    return this.rate.requestsPerSecond;
  }

  noteStatedLoad(): readonly GateAction[] {
    return [];
  }

  private drain(now: number): GateAction[] {
    const { limit, queue, refusesAtDeadline } = this.options;
    this.rateResumesAt = undefined;
    const expired: readonly WaitingRequest[] = refusesAtDeadline ? queue.takeExpired(now) : [];
    const actions: GateAction[] = expired.map(({ ticket }) =>
      refuse(ticket, ResultCode.DeadlineUnreachable, 'deadline passed in the queue'),
    );
    while (queue.length > 0 && this.inFlight.size < limit.current()) {
      const startableAt = this.rate.startableAt(now);
      if (startableAt > now) {
        this.rateResumesAt = startableAt;
        break;
      }
      const { ticket, request } = queue.takeNext(now)!;
      this.inFlight.start(now, ticket, request.kind);
      this.rate.noteStart(now);
      actions.push({ type: 'dispatch', ticket });
    }
    return actions;
  }
}

function refuse(ticket: number, code: ResultCode, detail: string): GateAction {
  const refusal: Refusal = { code, detail, retryAfterMs: BASELINE_RETRY_AFTER_MS };
  return { type: 'refuse', ticket, refusal };
}

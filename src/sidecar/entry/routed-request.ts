/**
 * Routes one request to its final result: admission, choice of a target, retries within the bounds
 * and the deadline. Whether the request may have run is tracked over all attempts.
 */
import { createFailure, type Failure } from '../../core/failure.js';
import type { AttemptOutcome, LoadReport, RequestContext } from '../../core/request.js';
import { ResultCode, type Execution } from '../../core/result-code.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import { ageAuthorization } from '../link/age-authorization.js';
import {
  createNotOfferedFailure,
  type AttemptPort,
  type CancelAttempt,
} from '../link/attempt-port.js';
import type {
  AttemptAnswer,
  AttemptCall,
  AttemptEnd,
  AttemptFailure,
} from '../link/link-messages.js';
import type { CalledService } from './service-routers.js';

/** The final result of a request. */
export type RequestEnd = AttemptAnswer | { readonly type: 'refusal'; readonly failure: Failure };

export interface RoutedRequestOptions {
  readonly context: RequestContext;
  /** The request as it is sent to a target; the time left is set for each attempt. */
  readonly call: AttemptCall;
  readonly maxAttempts: number;
  readonly service: CalledService;
  readonly clock: Clock;
  /** This node's part of the retries that all nodes together may send beyond the retry ratio. */
  readonly retrySlack: number;
  portOf(node: string): AttemptPort | undefined;
  /** The only node that the request may be sent to; absent: the router chooses. */
  readonly onlyNode?: string;
  /** Whether the request may be sent to another target after one failed it or crashed while running it. */
  mayRetry(): boolean;
  /** Called with each load report of an attempt. */
  onLoad?(load: LoadReport): void;
  /** Called exactly once, unless the request is cancelled first. */
  onEnd(end: RequestEnd): void;
}

/** Most nodes that a request is sent to while they refuse it without offering it to their target. */
const MAX_TRIED_NODES = 6;
/** The same when nodes refuse for load: each further attempt would cost all of them processor time. */
const MAX_TRIED_NODES_UNDER_LOAD = 2;
/** The same when nodes refuse because their targets are at the request limits that they state. */
const MAX_TRIED_NODES_AT_RATE_LIMIT = 3;
/** The other node gets this much less time, so that its result still arrives, in milliseconds. */
const LINK_MARGIN_MS = 8;
const LINK_MARGIN_SHARE = 0.1;
const DEFAULT_RETRY_AFTER_MS = 200;
/** Status of a target's own failure; other failures (a deadline, a planned stop) would recur elsewhere. */
const INTERNAL_SERVER_ERROR = 500;

/** The attempt in progress. */
interface CurrentAttempt {
  readonly node: string;
  /** Local monotonic time at which it was sent, in milliseconds. */
  readonly startedAt: number;
  cancel: CancelAttempt;
}

/** One request, from its admission to its final result. */
export class RoutedRequest {
  private ended = false;
  private current: CurrentAttempt | undefined;
  private cancelDeadline: CancelTimer = () => {};
  private readonly tried: string[] = [];
  /** Targets that the request was offered to. */
  private offers = 0;
  private mayHaveRun = false;
  /** Failed answer after which the request was sent to another target; returned if that fails too. */
  private failedAnswer: AttemptAnswer | undefined;
  private lastShortService: string | undefined;
  /** Boot time at which the request was authorized; undefined: it needs no authorization. */
  private readonly authorizedAt: number | undefined;

  constructor(private readonly options: RoutedRequestOptions) {
    const { call, clock } = options;
    this.authorizedAt = call.authorization && clock.bootNow();
  }

  /** Nodes tried so far, for logs. */
  get triedNodes(): readonly string[] {
    return this.tried;
  }

  /** Service that lacks slots, as the newest load report that names one says. */
  get shortService(): string | undefined {
    return this.lastShortService;
  }

  start(): void {
    const { service, clock, context } = this.options;
    const now = clock.now();
    if (!service.retryBudget.admit(now, this.options.call.repeated, this.options.retrySlack)) {
      const detail = `calls of retries have used the retry budget (${context.service})`;
      const options = { execution: 'not-run', retryAfterMs: DEFAULT_RETRY_AFTER_MS } as const;
      this.refuse(createFailure(ResultCode.RetryBudgetExhausted, detail, options));
      return;
    }
    const refusal = service.router.admit(now, context);
    if (refusal !== undefined) {
      const { code, detail, retryAfterMs } = refusal;
      this.refuse(createFailure(code, detail, { execution: 'not-run', retryAfterMs }));
      return;
    }
    this.cancelDeadline = clock.schedule(context.deadline - now, () => {
      this.onDeadline();
    });
    this.sendAttempt();
  }

  /** Cancels the request, since its caller has disconnected. */
  cancel(): void {
    if (this.ended) return;
    this.finish();
    this.abortAttempt('cancelled');
  }

  /** Ends the request now with this failure; its execution is `unknown` if the request may have run. */
  giveUp(failure: Failure): void {
    if (this.ended) return;
    this.abortAttempt('cancelled');
    this.refuse(failure);
  }

  private sendAttempt(): void {
    const { service, clock, context, portOf } = this.options;
    const now = clock.now();
    const node = this.pickNode(now);
    if (node === undefined) return;
    this.tried.push(node);
    const timeLeftMs = context.deadline - now;
    const margin = Math.min(LINK_MARGIN_MS, timeLeftMs * LINK_MARGIN_SHARE);
    const repeated = this.options.call.repeated || this.offers > 0;
    const dueInMs = (context.dueAt ?? context.deadline) - now;
    const call = {
      ...this.options.call,
      ...this.currentAuthorization(),
      repeated,
      timeLeftMs: timeLeftMs - margin,
      dueInMs,
    };
    const current: CurrentAttempt = { node, startedAt: now, cancel: () => false };
    this.current = current;
    service.noteAttemptStart();
    const port = portOf(node);
    if (port === undefined) {
      const detail = `node ${node} is no longer known`;
      this.onAttemptEnd(
        createNotOfferedFailure('unreachable', ResultCode.NoTargetAvailable, detail),
      );
      return;
    }
    current.cancel = port.dispatch(call, (end) => {
      if (this.current === current) this.onAttemptEnd(end);
    });
  }

  /** Picks the next node; refuses the request when there is none. */
  private pickNode(now: number): string | undefined {
    const { service, context, onlyNode } = this.options;
    if (onlyNode !== undefined) return onlyNode;
    const picked = service.router.pick(now, context, this.tried);
    if (picked.type === 'target') return picked.target;
    const { code, detail, retryAfterMs } = picked.refusal;
    this.refuse(createFailure(code, detail, { execution: 'not-run', retryAfterMs }));
    return undefined;
  }

  private currentAuthorization(): Pick<AttemptCall, 'authorization'> {
    if (this.authorizedAt === undefined) return {};
    const { call, clock } = this.options;
    return ageAuthorization(call.authorization, clock.bootNow() - this.authorizedAt);
  }

  /** Aborts the attempt in progress and reports its end, as the router requires for every attempt. */
  private abortAttempt(outcome: AttemptOutcome): void {
    const { current } = this;
    if (current === undefined) return;
    this.current = undefined;
    if (current.cancel()) this.mayHaveRun = true;
    this.report(current, this.mayHaveRun ? outcome : 'cancelled');
  }

  private onAttemptEnd(end: AttemptEnd): void {
    const { current } = this;
    if (current === undefined) return;
    this.current = undefined;
    this.report(current, end.type === 'answer' ? 'success' : end.outcome, end.load);
    if (end.type === 'answer') {
      this.onAnswer(end, current.startedAt);
      return;
    }
    if (end.offered) this.offers += 1;
    if (end.execution !== 'not-run') this.mayHaveRun = true;
    if (this.shouldRetry(end)) this.sendAttempt();
    else this.refuse(createFailure(end.code, end.detail, toFailureOptions(end)));
  }

  private onAnswer(answer: AttemptAnswer, startedAt: number): void {
    this.offers += 1;
    this.mayHaveRun = true;
    if (this.shouldRetryFailedAnswer(answer, startedAt)) {
      this.failedAnswer = answer;
      this.sendAttempt();
      return;
    }
    this.finish();
    this.options.onEnd(answer);
  }

  /**
   * Whether a target's own failure is retried at another target. Not while the target or a service that it
   * calls refuses for load, since most requests fail for that reason then, and not when less time is left
   * than the failed attempt took.
   */
  private shouldRetryFailedAnswer({ status, load }: AttemptAnswer, startedAt: number): boolean {
    if (status !== INTERNAL_SERVER_ERROR || (load?.threshold ?? 0) > 0) return false;
    const { context, maxAttempts, clock } = this.options;
    const now = clock.now();
    if (!context.idempotent || this.offers >= maxAttempts) return false;
    if (!this.options.mayRetry()) return false;
    if (context.deadline - now < now - startedAt) return false;
    return this.spendRetry(now);
  }

  private spendRetry(now: number): boolean {
    const { service, retrySlack, call } = this.options;
    return service.retryBudget.spend(now, retrySlack, !call.committed);
  }

  private report(
    { node, startedAt }: CurrentAttempt,
    outcome: AttemptOutcome,
    load?: LoadReport,
  ): void {
    const now = this.options.clock.now();
    const { service, onlyNode } = this.options;
    service.noteAttemptEnd();
    if (load !== undefined) this.options.onLoad?.(load);
    this.lastShortService = load?.shortService ?? this.lastShortService;
    // The router did not pick the node, and does not count the attempt as in progress.
    if (onlyNode !== undefined) return;
    service.router.onOutcome(now, {
      target: node,
      kind: this.options.context.kind,
      outcome,
      latencyMs: now - startedAt,
      ...(load === undefined ? {} : { load }),
    });
  }

  /** Whether to send the request to another node. Spends retry budget if it was offered to a target before. */
  private shouldRetry({ outcome }: AttemptFailure): boolean {
    const { context, maxAttempts, clock, onlyNode } = this.options;
    if (onlyNode !== undefined) return false;
    if (this.mayHaveRun && !context.idempotent) return false;
    if (this.tried.length >= MAX_TRIED_NODES || this.offers >= maxAttempts) return false;
    if (outcome === 'timeout' || outcome === 'cancelled') return false;
    if (outcome === 'overloaded' && this.tried.length >= MAX_TRIED_NODES_UNDER_LOAD) return false;
    if (outcome === 'rate-limited' && this.tried.length >= MAX_TRIED_NODES_AT_RATE_LIMIT)
      return false;
    const now = clock.now();
    if (now >= context.deadline) return false;
    if (this.offers === 0) return true;
    return this.options.mayRetry() && this.spendRetry(now);
  }

  private onDeadline(): void {
    if (this.ended) return;
    this.abortAttempt('timeout');
    const execution = this.mayHaveRun ? 'unknown' : 'not-run';
    const detail = 'no answer before the deadline';
    this.refuse(createFailure(ResultCode.DeadlineExceeded, detail, { execution }));
  }

  private refuse(failure: Failure): void {
    if (this.ended) return;
    this.finish();
    if (this.failedAnswer !== undefined) {
      this.options.onEnd(this.failedAnswer);
      return;
    }
    const execution: Execution = this.mayHaveRun ? 'unknown' : failure.execution;
    const retryAfterMs = failure.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
    this.options.onEnd({ type: 'refusal', failure: { ...failure, execution, retryAfterMs } });
  }

  private finish(): void {
    this.ended = true;
    this.cancelDeadline();
  }
}

function toFailureOptions({ execution, retryAfterMs }: AttemptFailure): {
  execution: Execution;
  retryAfterMs?: number;
} {
  return retryAfterMs === undefined ? { execution } : { execution, retryAfterMs };
}

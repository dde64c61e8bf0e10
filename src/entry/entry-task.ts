/**
 * The task that owns the callers' interface: it reads each request, routes it and answers it
 * once. Messages deliver exchanges and change the phase of a planned stop.
 */
import { Result } from 'true-myth';
import type { Classification, ConfigStore } from '../config/config-store.js';
import type { ByteBudget } from '../core/byte-budget.js';
import { readParent } from '../core/call-baggage.js';
import { createFailure, type Failure } from '../core/failure.js';
import type { HttpRequest } from '../core/http-message.js';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import type { Metrics } from '../kernel/metrics.js';
import { Task } from '../kernel/task.js';
import { classify, type CallFactory, type PreparedCall } from './call-factory.js';
import type { CallResult } from './call-router.js';
import type { HttpExchange } from './http-exchange.js';
import type { ParentLedger } from './parent-ledger.js';
import { toProblemAnswer } from './problem-document.js';
import type { ServiceCallRouter } from './service-call-router.js';

/** Serving; leaving (serves, and closes connections with their next answer); refusing. */
export type EntryPhase = 'serving' | 'leaving' | 'refusing';

/** Messages of the entry task. */
export type EntryMessage =
  | { readonly type: 'exchange'; readonly exchange: HttpExchange }
  | { readonly type: 'phase'; readonly phase: EntryPhase };

export interface EntryTaskOptions {
  readonly nodeId: string;
  readonly mailboxCapacity: number;
  readonly requestReadTimeoutMs: number;
  readonly config: ConfigStore;
  readonly calls: CallFactory;
  readonly router: ServiceCallRouter;
  readonly parents: ParentLedger;
  readonly buffers: ByteBudget;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

const BUFFER_RETRY_AFTER_MS = 100;
const DRAINING_RETRY_AFTER_MS = 200;
const MAX_INPUT_CODE = 1_999;

export class EntryTask extends Task<EntryMessage> {
  private phase: EntryPhase = 'serving';
  private running = 0;

  constructor(private readonly options: EntryTaskOptions) {
    super('entry', options.mailboxCapacity);
  }

  /** Exchanges that have not been answered. */
  get inProgress(): number {
    return this.running;
  }

  protected override handle(message: EntryMessage): void {
    if (message.type === 'phase') this.phase = message.phase;
    else void this.serve(message.exchange);
  }

  private async serve(exchange: HttpExchange): Promise<void> {
    const received = exchange.receivedAt;
    this.running += 1;
    try {
      await this.serveClassified(exchange, received);
    } catch (error) {
      const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
      this.options.log.emit(Event.InternalError, { error: text });
      this.reject(exchange, createFailure(ResultCode.Internal, 'internal error'));
    } finally {
      this.running -= 1;
    }
  }

  private async serveClassified(exchange: HttpExchange, received: number): Promise<void> {
    const { method, path, headers } = exchange;
    const classified = this.checkHead(exchange).andThen(() =>
      classify(this.options.config, method, path, headers),
    );
    if (classified.isErr) {
      this.reject(exchange, classified.error);
      return;
    }
    const prepared = await this.prepare(exchange, classified.value, received);
    if (prepared.isErr) {
      this.reject(exchange, prepared.error, classified.value);
      return;
    }
    const result = await this.options.router.route(prepared.value.call, exchange.signal);
    this.returnUnused(prepared.value, result);
    this.finish(exchange, prepared.value, result, received);
  }

  private checkHead({ headers }: HttpExchange): Result<undefined, Failure> {
    const hosts = headers.filter(([name]) => name.toLowerCase() === 'host');
    if (hosts.length !== 1) {
      const detail = `${hosts.length} Host fields`;
      return Result.err(createFailure(ResultCode.MalformedRequest, detail));
    }
    const isInternal = readParent(headers) !== undefined;
    if (this.phase !== 'refusing' || isInternal) return Result.ok(undefined);
    const options = { retryAfterMs: DRAINING_RETRY_AFTER_MS };
    return Result.err(createFailure(ResultCode.NodeDraining, 'planned stop', options));
  }

  private async prepare(
    exchange: HttpExchange,
    classification: Classification,
    received: number,
  ): Promise<Result<PreparedCall, Failure>> {
    const body = await this.readBody(exchange, classification);
    if (body.isErr) return Result.err(body.error);
    const { method, path, headers } = exchange;
    const request: HttpRequest = { method, path, headers, body: body.value };
    return this.options.calls.create(classification, request, received);
  }

  private readBody(
    exchange: HttpExchange,
    { kind }: Classification,
  ): Promise<Result<Uint8Array, Failure>> {
    const declared = exchange.declaredLength() ?? 0;
    const reservation = this.options.buffers.tryReserve(Math.min(declared, kind.maxRequestBytes));
    if (reservation === undefined) {
      const options = { retryAfterMs: BUFFER_RETRY_AFTER_MS };
      const detail = 'no buffer left for the request';
      const failure = createFailure(ResultCode.BufferExhausted, detail, options);
      return Promise.resolve(Result.err(failure));
    }
    exchange.onClose(() => {
      reservation.release();
    });
    const timeoutMs = this.options.requestReadTimeoutMs;
    return exchange.readBody({ maxBytes: kind.maxRequestBytes, timeoutMs, reservation });
  }

  /** Returns attempts that a call below an attempt did not use, and reports its threshold. */
  private returnUnused({ call, parent }: PreparedCall, result: CallResult): void {
    if (parent === undefined) return;
    const { tenant, service, kind } = call.context;
    this.options.parents.returnUnused(parent, {
      parentAttemptId: parent.parentAttemptId,
      unused: Math.max(0, call.attempts - result.attemptsUsed),
      service,
      threshold: this.options.router.thresholdOf(tenant, service, kind),
    });
  }

  private finish(
    exchange: HttpExchange,
    { call }: PreparedCall,
    result: CallResult,
    received: number,
  ): void {
    const { service, kind } = call.context;
    if (result.type === 'failure') {
      this.logFailure(result.failure, service, kind);
      this.count(service, kind, result.failure.code);
      this.answerProblem(exchange, result.failure);
      return;
    }
    const { metrics, clock, buffers } = this.options;
    this.count(service, kind, ResultCode.Ok);
    metrics.latency.observe({ service, kind }, (clock.now() - received) / 1_000);
    const reservation = buffers.reserve(result.answer.body.length);
    exchange.onClose(() => {
      reservation.release();
    });
    const unwritable = exchange.answer(result.answer, this.phase !== 'serving');
    if (unwritable === undefined) return;
    const { code, detail } = unwritable;
    this.options.log.emit(Event.AnswerUnwritable, { code, detail, service, kind });
    this.answerProblem(exchange, unwritable);
  }

  /** Answers a request that was never routed. */
  private reject(exchange: HttpExchange, failure: Failure, classification?: Classification): void {
    const service = classification?.service.name ?? '';
    const kind = classification?.kind.name ?? '';
    this.logFailure(failure, service, kind);
    this.count(service, kind, failure.code);
    this.answerProblem(exchange, failure);
  }

  private answerProblem(exchange: HttpExchange, failure: Failure): void {
    const answer = toProblemAnswer(failure, this.options.nodeId);
    exchange.answer(answer, this.phase !== 'serving');
  }

  private count(service: string, kind: string, code: ResultCode): void {
    this.options.metrics.requests.inc({ service, kind, code: String(code) });
  }

  private logFailure(failure: Failure, service: string, kind: string): void {
    const { code, detail, execution } = failure;
    const fields = { code, detail, execution, service, kind };
    this.options.log.emit(eventOf(failure), fields);
  }
}

function eventOf({ code, execution }: Failure): Event {
  if (code <= MAX_INPUT_CODE) return Event.EntryInputRejected;
  return execution === 'not-run' ? Event.RequestRefused : Event.RequestFailed;
}

/** Handling of one request at a back end, from its arrival to its answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { CALLER_REQUEST_MEMBER, digestRequest, parseBaggage } from '../request-digest.js';
import type { BackendFaults } from './backend-faults.js';
import { matchesRequest, type BackendOptions } from './backend-options.js';
import type { DownstreamCaller } from './downstream-caller.js';
import type { BackendCounters, JournalEntry } from './effects-journal.js';
import type { SlotPool } from './slot-pool.js';

/** Parts of the back end that the handling of a request uses. */
export interface WorkContext {
  readonly options: BackendOptions;
  readonly pool: SlotPool;
  readonly caller: DownstreamCaller;
  readonly counters: BackendCounters;
  faults(): BackendFaults;
  /** Draws the service time of a request in milliseconds, with cold start and faults applied. */
  nextServiceMs(method: string, path: string): number;
  /** Value of the `Backend-State` field of answers, if any. */
  announcedState(): string | undefined;
}

/** A request whose body has been read. */
export interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  readonly entry: JournalEntry;
  /** `performance.now()` at arrival. */
  readonly arrivedAt: number;
}

/** Returns a request's id for the journal: the caller's own id, else the one sillshore forwards. */
export function identifyRequest(request: IncomingMessage): string | undefined {
  const baggage = parseBaggage(request.headers['baggage'] as string | undefined);
  const key = request.headers['idempotency-key'];
  return (
    baggage.get(CALLER_REQUEST_MEMBER) ??
    baggage.get('sillshore-request') ??
    (typeof key === 'string' ? key : undefined)
  );
}

/** Returns the remaining time in milliseconds from the request's context field. */
export function readRemainingMs(request: IncomingMessage): number | undefined {
  const member = parseBaggage(request.headers['baggage'] as string | undefined).get(
    'sillshore-deadline',
  );
  const value = Number(member);
  return member === undefined || !Number.isFinite(value) ? undefined : value;
}

/** Refuses a request that has not begun to run. */
export function refuse(received: ReceivedRequest, state: 'draining' | 'overloaded'): void {
  received.entry.refused += 1;
  send(received.response, 503, Buffer.from(`{"refused":"${state}"}`), {
    'backend-state': state,
    'content-type': 'application/json',
  });
}

/** Serves a request: waits for a slot, works, calls downstream, records the effect and answers. */
export function serve(context: WorkContext, received: ReceivedRequest): void {
  const { entry, response } = received;
  const abort = new AbortController();
  let started = false;
  const waiter = {
    start: (): void => {
      started = true;
      void run(context, received, abort.signal).finally(() => {
        context.pool.release();
      });
    },
  };
  response.once('close', () => {
    if (response.writableFinished || context.faults().ignoreCancel) return;
    entry.cancelled += 1;
    abort.abort();
    if (!started) context.pool.withdraw(waiter);
  });
  if (!context.pool.acquire(waiter)) refuse(received, 'overloaded');
}

async function run(
  context: WorkContext,
  received: ReceivedRequest,
  signal: AbortSignal,
): Promise<void> {
  const { entry, response, request } = received;
  const deadlineMs = readRemainingMs(request);
  const waited = performance.now() - received.arrivedAt;
  if (deadlineMs !== undefined && waited > deadlineMs && !context.faults().ignoreDeadline) {
    refuse(received, 'overloaded');
    return;
  }
  entry.begunAt.push(Date.now());
  try {
    await delay(context.nextServiceMs(entry.method, request.url ?? '/'), undefined, { signal });
    const failure = await callDownstream(context, received, deadlineMs, signal);
    if (signal.aborted) return;
    if (failure !== undefined) {
      send(response, failure.status === 503 ? 503 : 502, Buffer.from(JSON.stringify(failure)), {
        'content-type': 'application/json',
        'x-failed-call': failure.failedCall,
      });
      return;
    }
  } catch (error) {
    if (signal.aborted) return;
    throw error;
  }
  entry.effectAt.push(Date.now());
  await answer(context, received);
}

/** A failed downstream call, as the back end's own answer reports it. */
interface DependencyFailure {
  readonly status: number;
  /** Service and cause, then those of the failed call further down the chain. */
  readonly failedCall: string;
}

async function callDownstream(
  context: WorkContext,
  received: ReceivedRequest,
  deadlineMs: number | undefined,
  signal: AbortSignal,
): Promise<DependencyFailure | undefined> {
  const { request, entry, arrivedAt } = received;
  const calls = context.options.calls.filter((call) =>
    matchesRequest(call.on, entry.method, request.url ?? '/'),
  );
  for (const call of calls) {
    const spent = performance.now() - arrivedAt;
    const outcome = await context.caller.call(call, {
      baggage: request.headers['baggage'] as string | undefined,
      traceparent: request.headers['traceparent'] as string | undefined,
      requestKey: entry.request,
      deadlineMs: deadlineMs === undefined ? undefined : Math.max(1, deadlineMs - spent),
      signal,
    });
    if (outcome.type === 'wrong-answer') context.counters.wrongAnswersBelow += 1;
    if (outcome.type === 'failed') {
      return { status: outcome.status, failedCall: `${call.service} ${outcome.cause}` };
    }
    if (outcome.type === 'wrong-answer') {
      return { status: 502, failedCall: `${call.service} wrong answer` };
    }
  }
  return undefined;
}

async function answer(context: WorkContext, received: ReceivedRequest): Promise<void> {
  const { request, response, body, entry } = received;
  const { service, target, answerBytes } = context.options;
  const digest = digestRequest(request.method ?? '', request.url ?? '', body);
  const filler = digest.repeat(Math.ceil(answerBytes / digest.length)).slice(0, answerBytes);
  const document = { request: entry.request, service, target, digest, filler };
  const payload = Buffer.from(JSON.stringify(document));
  const state = context.announcedState();
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-request-digest': digest,
    // The back end's own time, so that a benchmark can separate its jitter from the added latency.
    'server-timing': `total;dur=${(performance.now() - received.arrivedAt).toFixed(3)}`,
    ...(state === undefined ? {} : { 'backend-state': state }),
  };
  const faults = context.faults();
  if (faults.answerDelayMs > 0) await delay(faults.answerDelayMs);
  if (faults.pauseAnswers) return;
  if (faults.dieMidAnswer || faults.truncate) {
    sendHalf(response, payload, headers, faults.dieMidAnswer);
    return;
  }
  send(response, 200, payload, headers);
}

function send(
  response: ServerResponse,
  status: number,
  payload: Buffer,
  headers: Record<string, string>,
): void {
  if (response.destroyed) return;
  response.writeHead(status, { ...headers, 'content-length': payload.length });
  response.end(payload);
}

/** Announces the full length, sends half of the answer and resets or closes the connection. */
function sendHalf(
  response: ServerResponse,
  payload: Buffer,
  headers: Record<string, string>,
  reset: boolean,
): void {
  response.writeHead(200, { ...headers, 'content-length': payload.length });
  response.write(payload.subarray(0, payload.length / 2), () => {
    if (reset) response.socket?.resetAndDestroy();
    else response.socket?.end();
  });
}

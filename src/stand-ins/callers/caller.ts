/** One caller's request with its retries. */
import { randomBytes } from 'node:crypto';
import type { Agent } from 'node:http';
import type { Random } from '../../core/random.js';
import type { EntryChooser } from '../entry-chooser.js';
import { exchange, type ExchangeResult } from '../http-exchange.js';
import { CALLER_REQUEST_MEMBER, digestRequest } from '../request-digest.js';
import { createRequestKey } from '../request-key.js';
import type { Stream } from '../workload.js';
import {
  concludeRequest,
  judgeExchange,
  type RequestRecord,
  type TryRecord,
} from './caller-journal.js';

/** How callers retry failed requests. */
export interface RetryBehaviour {
  /** Attempts in total, at least 1. */
  readonly maxTries: number;
  /** Milliseconds before a retry. */
  readonly delayMs: number;
  /** Fraction of the time limit after which an attempt is abandoned and retried, 0..1; 1: never. */
  readonly tryPatience: number;
  /** Whether a retry goes to another entry. */
  readonly otherEntry: boolean;
}

/** Callers that do not retry. */
export const NO_RETRIES: RetryBehaviour = {
  maxTries: 1,
  delayMs: 0,
  tryPatience: 1,
  otherEntry: true,
};

/** Entries, connections, random numbers and retry behaviour of a caller. */
export interface CallerContext {
  readonly entries: EntryChooser;
  readonly agent: Agent;
  readonly random: Random;
  readonly retries: RetryBehaviour;
}

/**
 * Makes one request and its retries under one idempotency key.
 *
 * @param plannedAt `performance.now()` at which it should have been sent
 */
export async function makeRequest(
  context: CallerContext,
  stream: Stream,
  plannedAt: number,
): Promise<RequestRecord> {
  const { entries, retries, random } = context;
  const sentAt = Date.now();
  const key = createRequestKey(sentAt, random);
  const path = `${stream.path}?request=${key}`;
  const body = stream.bodyBytes === 0 ? EMPTY : randomBytes(stream.bodyBytes);
  const digest = digestRequest(stream.method, path, body);
  const headers = createHeaders(stream, key);
  const giveUpAt = performance.now() + stream.patienceMs;
  const tries: TryRecord[] = [];
  let entry = entries.choose(performance.now(), random.nextInt(entries.entries.length));

  while (tries.length < retries.maxTries) {
    const left = giveUpAt - performance.now();
    if (left <= 0) break;
    const startedAt = performance.now();
    const result = await exchange({
      base: entries.entries[entry]!,
      method: stream.method,
      path,
      headers,
      body,
      agent: context.agent,
      timeoutMs: Math.min(left, stream.patienceMs * retries.tryPatience),
    });
    const endedAt = performance.now();
    const latencyMs = endedAt - startedAt;
    entries.note(endedAt, entry, result);
    const verdict = judgeExchange(result, digest, key);
    tries.push({ entry, verdict, ended: result.type, latencyMs, ...describeAnswer(result) });
    if (verdict === 'complete' || verdict === 'wrong') break;
    if (retries.otherEntry) entry = entries.choose(endedAt, entry + 1);
    if (retries.delayMs > 0) await wait(retries.delayMs);
  }
  return concludeRequest(key, stream.kind, sentAt, tries, performance.now() - plannedAt);
}

const EMPTY = Buffer.alloc(0);

function createHeaders(stream: Stream, key: string): Record<string, string> {
  return {
    host: stream.host,
    baggage: `${CALLER_REQUEST_MEMBER}=${key}`,
    ...(stream.requestId ? { 'idempotency-key': key } : {}),
  };
}

function describeAnswer(result: ExchangeResult): Partial<TryRecord> {
  if (result.type !== 'answer') return {};
  const code = result.headers['sillshore-result'];
  const execution = result.headers['sillshore-execution'];
  const below = result.headers['x-failed-call'];
  const [, duration] = /dur=([\d.]+)/.exec(`${result.headers['server-timing'] ?? ''}`) ?? [];
  return {
    status: result.status,
    ...(typeof below === 'string' ? { below } : {}),
    ...(duration === undefined ? {} : { backendMs: Number(duration) }),
    ...(typeof code === 'string' ? { code } : {}),
    ...(typeof execution === 'string' ? { execution } : {}),
  };
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

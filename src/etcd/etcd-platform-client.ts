/**
 * PlatformClient over the etcd v3 JSON gateway. A read goes to the next endpoint after any failure
 * but a rate limit or a rejection; a write only when it has certainly not been sent. A write that
 * may have been carried out is never retried.
 */
import { Result } from 'true-myth';
import type { z } from 'zod';
import { createFailure, type Failure } from '../core/failure.js';
import { createRandom, type Random } from '../core/random.js';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import {
  createRangeRequest,
  createTransactionRequest,
  machinesAnswerSchema,
  rangeAnswerSchema,
  transactionAnswerSchema,
} from './etcd-messages.js';
import { openWatch } from './etcd-watch.js';
import { exchange, type ExchangeResult } from './http-exchange.js';
import type {
  Compare,
  Machine,
  PlatformClient,
  Put,
  RangeResult,
  TransactionResult,
  WatchEvent,
} from './platform-client.js';
import { TokenBucket } from './token-bucket.js';

/** Limit of one node's requests to the key-value service. */
const MAX_REQUESTS_PER_SECOND = 5;
/** Requests that one node may send at once. */
const MAX_BURST_REQUESTS = 20;
/** First backoff after the service's rate limit; doubles up to the maximum, with full jitter. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;

export interface EtcdPlatformClientOptions {
  /** Base URLs of the key-value service. */
  readonly endpoints: readonly string[];
  /** URL of the list of machines. */
  readonly machinesUrl: string;
  /** Time limit of one exchange in milliseconds; also the longest wait for the rate limit. */
  readonly timeoutMs: number;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Seed of the backoff's jitter. */
  readonly seed: number;
}

/** {@link PlatformClient} describes the failures. */
export class EtcdPlatformClient implements PlatformClient {
  private readonly bucket: TokenBucket;
  private readonly random: Random;
  private preferred = 0;
  private refusals = 0;
  private lastSucceeded = true;

  constructor(private readonly options: EtcdPlatformClientOptions) {
    const limits = {
      ratePerSecond: MAX_REQUESTS_PER_SECOND,
      burst: MAX_BURST_REQUESTS,
      maxWaitMs: options.timeoutMs,
    };
    this.bucket = new TokenBucket(options.clock, limits);
    this.random = createRandom(options.seed);
  }

  get available(): boolean {
    return this.lastSucceeded;
  }

  async range(prefix: string): Promise<Result<RangeResult, Failure>> {
    const request = createRangeRequest(prefix);
    return this.run('/v3/kv/range', request, rangeAnswerSchema, false);
  }

  async transact(
    compares: readonly Compare[],
    puts: readonly Put[],
  ): Promise<Result<TransactionResult, Failure>> {
    const request = createTransactionRequest(compares, puts);
    return this.run('/v3/kv/txn', request, transactionAnswerSchema, true);
  }

  watch(prefix: string, fromRevision: number, listener: (event: WatchEvent) => void): () => void {
    const url = this.options.endpoints[this.preferred]!;
    const { timeoutMs } = this.options;
    return openWatch({ url, prefix, fromRevision, timeoutMs }, (event) => {
      if (event.type === 'lost') this.preferNextEndpoint();
      listener(event);
    });
  }

  async machines(): Promise<Result<readonly Machine[], Failure>> {
    const { machinesUrl: url, timeoutMs } = this.options;
    const result = await exchange({ method: 'GET', url, timeoutMs });
    if (result.type !== 'answer') return Result.err(toFailure(result, false));
    const parsed = machinesAnswerSchema.safeParse(result.body);
    if (parsed.success) return Result.ok(parsed.data.machines);
    return Result.err(
      createFailure(ResultCode.PlatformUnavailable, 'list of machines has an unexpected form'),
    );
  }

  private async run<T>(
    path: string,
    json: object,
    schema: z.ZodType<T>,
    isWrite: boolean,
  ): Promise<Result<T, Failure>> {
    const waitMs = this.bucket.reserve();
    if (waitMs === undefined) return Result.err(this.createRateFailure('by this client'));
    if (waitMs > 0) await this.sleep(waitMs);
    let last: ExchangeResult = { type: 'not-sent', detail: 'no endpoint configured' };
    for (const endpoint of this.endpointsInOrder()) {
      const url = `${endpoint}${path}`;
      const { timeoutMs } = this.options;
      last = checkBody(await exchange({ method: 'POST', url, json, timeoutMs }), schema);
      if (last.type === 'answer') {
        this.noteSuccess();
        return Result.ok(last.body as T);
      }
      if (last.type === 'rate-limited') {
        this.pauseAfterRateLimit(last.retryAfterMs ?? 0);
        return Result.err(this.createRateFailure('by the service'));
      }
      if (last.type === 'rejected') break;
      this.preferNextEndpoint();
      if (isWrite && last.type === 'unclear') break;
    }
    const failure = toFailure(last, isWrite);
    this.noteFailure(failure);
    return Result.err(failure);
  }

  private endpointsInOrder(): readonly string[] {
    const { endpoints } = this.options;
    return [...endpoints.slice(this.preferred), ...endpoints.slice(0, this.preferred)];
  }

  private preferNextEndpoint(): void {
    this.preferred = (this.preferred + 1) % this.options.endpoints.length;
  }

  private pauseAfterRateLimit(atLeastMs: number): void {
    const ceiling = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.refusals);
    this.refusals += 1;
    this.bucket.pause(atLeastMs + MIN_BACKOFF_MS + this.random.next() * ceiling);
  }

  private createRateFailure(by: string): Failure {
    const retryAfterMs = Math.ceil(Math.max(MIN_BACKOFF_MS, this.bucket.pauseRemainingMs));
    const detail = `requests to the key-value service are rate-limited ${by}`;
    return createFailure(ResultCode.PlatformRateLimited, detail, { retryAfterMs });
  }

  private noteSuccess(): void {
    this.refusals = 0;
    if (!this.lastSucceeded) this.options.log.emit(Event.PlatformRecovered);
    this.lastSucceeded = true;
  }

  private noteFailure(failure: Failure): void {
    if (this.lastSucceeded) {
      this.options.log.emit(Event.PlatformUnavailable, { detail: failure.detail });
    }
    this.lastSucceeded = false;
  }

  private sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.options.clock.schedule(durationMs, resolve);
    });
  }
}

/** An answer of unexpected form does not show whether the request had an effect: `unclear`. */
function checkBody<T>(result: ExchangeResult, schema: z.ZodType<T>): ExchangeResult {
  if (result.type !== 'answer') return result;
  const parsed = schema.safeParse(result.body);
  if (parsed.success) return { type: 'answer', body: parsed.data };
  return { type: 'unclear', detail: 'answer has an unexpected form' };
}

function toFailure(result: ExchangeResult, isWrite: boolean): Failure {
  const detail = 'detail' in result ? result.detail : result.type;
  const isUnknown = isWrite && result.type === 'unclear';
  const code = isUnknown ? ResultCode.WriteOutcomeUnknown : ResultCode.PlatformUnavailable;
  return createFailure(code, detail, { retryAfterMs: 1_000 });
}

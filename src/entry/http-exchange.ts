/** One HTTP request at the entry and its answer, on top of `node:http`'s objects. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Result } from 'true-myth';
import { hasBody } from '../core/answer-body.js';
import type { BufferReservation } from '../core/byte-budget.js';
import { createFailure, type Failure } from '../core/failure.js';
import type { HeaderFields, HttpAnswer } from '../core/http-message.js';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';

/** Time for the rest of a refused request to arrive, before its connection is closed. */
const LINGER_MS = 1_000;
/** Bytes of a refused request that are read and dropped, before its connection is closed. */
const LINGER_BYTES = 1_048_576;
/** Time in which a caller must have taken the whole answer. */
const ANSWER_WRITE_TIMEOUT_MS = 30_000;

/** Limits of reading one body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  readonly reservation: BufferReservation;
}

/** See the module comment. */
export class HttpExchange {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: HeaderFields;
  /** When the head of the request had been read, in milliseconds of the monotonic clock. */
  readonly receivedAt: number;
  private readonly abort = new AbortController();
  private abandoned = false;

  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly clock: Clock,
    private readonly expectsContinue: boolean,
    /** Says whether the answer ends the connection, which it is told when it is given. */
    private readonly decideEnd: (wantsClose: boolean) => boolean,
  ) {
    this.receivedAt = clock.now();
    this.method = request.method ?? '';
    const target = splitTarget(request.url ?? '');
    this.path = target.path;
    this.headers = readHeaders(request.rawHeaders, target.host);
    request.on('error', () => {
      // Reported by `close`; without a listener it would end the process.
    });
    response.on('error', () => {
      this.abort.abort();
    });
    response.on('close', () => {
      if (!response.writableFinished) this.abort.abort();
    });
  }

  /** Whether the request is still arriving and nothing has been answered. */
  get awaitsRequest(): boolean {
    return !this.request.complete && !this.response.headersSent && !this.abandoned;
  }

  /** Gives the exchange up: its connection was answered and closed on a lower level. */
  abandon(): void {
    this.abandoned = true;
    this.abort.abort();
  }

  /** Aborts when the caller goes away before it has the whole answer. */
  get signal(): AbortSignal {
    return this.abort.signal;
  }

  /** Calls `listener` once, when the exchange is over for whatever reason. */
  onClose(listener: () => void): void {
    this.response.once('close', listener);
  }

  /** Declared length of the body; undefined when it comes in chunks, 0 when there is none. */
  declaredLength(): number | undefined {
    if (this.request.headers['transfer-encoding'] !== undefined) return undefined;
    return Number(this.request.headers['content-length'] ?? 0);
  }

  /** Reads the whole body. Failures: 1004, 1006, 1007, 2010. */
  readBody(limits: BodyLimits): Promise<Result<Uint8Array, Failure>> {
    const declared = this.declaredLength();
    if (declared === 0) return Promise.resolve(Result.ok(new Uint8Array(0)));
    if (declared !== undefined && declared > limits.maxBytes) {
      return Promise.resolve(Result.err(tooLarge(limits.maxBytes)));
    }
    if (this.expectsContinue) this.response.writeContinue();
    return new Promise((resolve) => {
      new BodyReader(this.request, limits, this.clock, resolve).start();
    });
  }

  /** Sends the whole answer; ignored when the caller is gone. */
  answer(answer: HttpAnswer, closeConnection: boolean): void {
    const { response, request } = this;
    if (this.abandoned || response.destroyed || response.headersSent) return;
    const headers = answer.headers.flatMap(([name, value]) => [name, value]);
    if (this.needsLength(answer)) headers.push('Content-Length', String(answer.body.length));
    if (this.decideEnd(closeConnection)) headers.push('Connection', 'close');
    response.writeHead(answer.status, headers);
    response.end(this.method === 'HEAD' ? undefined : answer.body);
    this.limitWriteTime();
    if (!request.complete) this.linger();
  }

  private needsLength({ status, headers }: HttpAnswer): boolean {
    if (!hasBody(status)) return false;
    if (this.method === 'HEAD') return false;
    return !headers.some(([name]) => name.toLowerCase() === 'content-length');
  }

  private limitWriteTime(): void {
    const cancel = this.clock.schedule(ANSWER_WRITE_TIMEOUT_MS, () => {
      this.response.destroy();
    });
    this.response.once('close', cancel);
  }

  /**
   * Reads and drops the rest of a request that was answered early: closing a connection with
   * unread bytes would reset it, and the caller could lose the answer.
   */
  private linger(): void {
    const { request } = this;
    const { socket } = request;
    let dropped = 0;
    const cancel = this.clock.schedule(LINGER_MS, () => {
      socket.destroy();
    });
    request.on('data', (chunk: Buffer) => {
      dropped += chunk.length;
      if (dropped > LINGER_BYTES) socket.destroy();
    });
    request.once('close', cancel);
    request.once('end', cancel);
    request.resume();
  }
}

/** Collects one body. */
class BodyReader {
  private readonly chunks: Buffer[] = [];
  private length = 0;
  private ended = false;
  private cancelTimer: () => void = () => {};

  constructor(
    private readonly request: IncomingMessage,
    private readonly limits: BodyLimits,
    private readonly clock: Clock,
    private readonly resolve: (body: Result<Uint8Array, Failure>) => void,
  ) {}

  start(): void {
    this.cancelTimer = this.clock.schedule(this.limits.timeoutMs, () => {
      const detail = `the body was not there after ${this.limits.timeoutMs} ms`;
      this.fail(createFailure(ResultCode.RequestReadTimeout, detail));
    });
    this.request.on('data', (chunk: Buffer) => {
      this.onData(chunk);
    });
    this.request.on('end', () => {
      this.finish(Result.ok(this.join()));
    });
    this.request.on('close', () => {
      this.fail(createFailure(ResultCode.BodyIncomplete, 'the connection ended in the body'));
    });
  }

  private onData(chunk: Buffer): void {
    if (this.ended) return;
    this.length += chunk.length;
    if (this.length > this.limits.maxBytes) {
      this.fail(tooLarge(this.limits.maxBytes));
      return;
    }
    if (!this.limits.reservation.cover(this.length)) {
      const options = { retryAfterMs: 100 };
      const detail = 'no buffer left for the request';
      this.fail(createFailure(ResultCode.BufferExhausted, detail, options));
      return;
    }
    this.chunks.push(chunk);
  }

  private join(): Uint8Array {
    const [only] = this.chunks;
    return this.chunks.length === 1 && only !== undefined ? only : Buffer.concat(this.chunks);
  }

  private fail(failure: Failure): void {
    this.finish(Result.err(failure));
  }

  private finish(result: Result<Uint8Array, Failure>): void {
    if (this.ended) return;
    this.ended = true;
    this.cancelTimer();
    this.chunks.length = 0;
    this.resolve(result);
  }
}

function tooLarge(maxBytes: number): Failure {
  return createFailure(ResultCode.BodyTooLarge, `more than ${maxBytes} bytes`);
}

/** Splits an absolute request target (RFC 9112, section 3.2.2) into host and path. */
function splitTarget(target: string): { readonly path: string; readonly host?: string } {
  const match = /^https?:\/\/([^/?#]+)(.*)$/i.exec(target);
  if (match === null) return { path: target };
  const rest = match[2] ?? '';
  return { host: match[1] ?? '', path: rest.startsWith('/') ? rest : `/${rest}` };
}

/** Pairs the raw fields up; the host of an absolute request target replaces the Host field. */
function readHeaders(raw: readonly string[], host: string | undefined): HeaderFields {
  const headers: [string, string][] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const isHost = host !== undefined && name.toLowerCase() === 'host';
    headers.push([name, isHost ? host : (raw[index + 1] ?? '')]);
  }
  return headers;
}

/** One HTTP request at the entry and its answer, built on the objects of `node:http`. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Result } from 'true-myth';
import { hasBody } from '../core/answer-body.js';
import { BodyBuffer } from '../core/body-buffer.js';
import type { BufferReservation } from '../core/byte-budget.js';
import { createFailure, type Failure } from '../core/failure.js';
import type { HeaderFields, HttpAnswer } from '../core/http-message.js';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';

/** Time for the rest of a refused request to arrive, before its connection is closed. */
const LINGER_TIMEOUT_MS = 1_000;
/** Bytes of a refused request that are read and dropped, before its connection is closed. */
const MAX_LINGER_BYTES = 1_048_576;

/** Limits for reading one body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  readonly reservation: BufferReservation;
}

/** Callbacks of an exchange to its connection. */
export interface ExchangeListener {
  /** An answer of so many bytes is sent; returns whether the connection closes after it. */
  beginAnswer(bytes: number, wantsClose: boolean): boolean;
  /** A chunk of the body of so many bytes was read. */
  noteChunk(bytes: number): void;
}

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
    private readonly listener: ExchangeListener,
  ) {
    this.receivedAt = clock.now();
    this.method = request.method ?? '';
    const target = splitTarget(request.url ?? '');
    this.path = target.path;
    this.headers = readHeaders(request.rawHeaders, target.host);
    request.on('error', () => {
      // Reported by `close`. Without a listener, the error would end the process.
    });
    response.on('error', () => {
      this.abort.abort();
    });
    response.on('close', () => {
      if (!response.writableFinished) this.abort.abort();
    });
  }

  /** Whether the request is still arriving and has not been answered. */
  get awaitsRequest(): boolean {
    return !this.request.complete && !this.response.headersSent && !this.abandoned;
  }

  /** Ends the exchange without an answer: its connection is gone, or answered as bad input. */
  abandon(): void {
    this.abandoned = true;
    this.abort.abort();
  }

  /** Aborts when the caller goes away before it has the whole answer. */
  get signal(): AbortSignal {
    return this.abort.signal;
  }

  /** Calls `listener` once, when the exchange ends for any reason. */
  onClose(listener: () => void): void {
    this.response.once('close', listener);
  }

  /** Declared length of the body; undefined when it is chunked, 0 when there is none. */
  declaredLength(): number | undefined {
    if (this.request.headers['transfer-encoding'] !== undefined) return undefined;
    return Number(this.request.headers['content-length'] ?? 0);
  }

  /** Failures: `BodyTooLarge`, `BodyIncomplete`, `RequestReadTimeout`, `BufferExhausted`. */
  readBody(limits: BodyLimits): Promise<Result<Uint8Array, Failure>> {
    const declared = this.declaredLength();
    if (declared === 0) return Promise.resolve(Result.ok(new Uint8Array(0)));
    if (declared !== undefined && declared > limits.maxBytes) {
      return Promise.resolve(Result.err(tooLarge(limits.maxBytes)));
    }
    if (this.expectsContinue) this.response.writeContinue();
    this.request.on('data', (chunk: Buffer) => {
      this.listener.noteChunk(chunk.length);
    });
    return new Promise((resolve) => {
      new BodyReader(this.request, limits, this.clock, resolve).start();
    });
  }

  /**
   * Sends the whole answer. Does nothing when the caller is gone.
   *
   * @returns why the answer cannot be written (3002); nothing of it has been sent then
   */
  answer(answer: HttpAnswer, closeConnection: boolean): Failure | undefined {
    const { response, request } = this;
    if (this.abandoned || response.destroyed || response.headersSent) return undefined;
    const headers = answer.headers.flatMap(([name, value]) => [name, value]);
    if (this.needsLength(answer)) headers.push('Content-Length', String(answer.body.length));
    const closes = this.listener.beginAnswer(answer.body.length, closeConnection);
    if (closes) headers.push('Connection', 'close');
    try {
      response.writeHead(answer.status, headers);
    } catch (error) {
      const detail = `the answer cannot be written: ${(error as Error).message}`;
      return createFailure(ResultCode.AnswerIncomplete, detail);
    }
    response.end(this.method === 'HEAD' ? undefined : answer.body);
    if (!request.complete) this.linger();
    return undefined;
  }

  private needsLength({ status, headers }: HttpAnswer): boolean {
    if (!hasBody(status)) return false;
    if (this.method === 'HEAD') return false;
    return !headers.some(([name]) => name.toLowerCase() === 'content-length');
  }

  /**
   * Reads and drops the rest of a request that was answered early: closing a connection with
   * unread bytes would reset it, and the caller could lose the answer.
   */
  private linger(): void {
    const { request } = this;
    const { socket } = request;
    let dropped = 0;
    const cancel = this.clock.schedule(LINGER_TIMEOUT_MS, () => {
      socket.destroy();
    });
    request.on('data', (chunk: Buffer) => {
      this.listener.noteChunk(chunk.length);
      dropped += chunk.length;
      if (dropped > MAX_LINGER_BYTES) socket.destroy();
    });
    request.once('close', cancel);
    request.once('end', cancel);
    request.resume();
  }
}

/** Collects one body. */
class BodyReader {
  private readonly buffer = new BodyBuffer();
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
      const detail = `request body not received within ${this.limits.timeoutMs} ms`;
      this.fail(createFailure(ResultCode.RequestReadTimeout, detail));
    });
    this.request.on('data', (chunk: Buffer) => {
      this.onData(chunk);
    });
    this.request.on('end', () => {
      this.finish(Result.ok(this.buffer.take()));
    });
    this.request.on('close', () => {
      this.fail(
        createFailure(
          ResultCode.BodyIncomplete,
          'the connection closed before the end of the request body',
        ),
      );
    });
  }

  private onData(chunk: Buffer): void {
    if (this.ended) return;
    this.buffer.append(chunk);
    if (this.buffer.length > this.limits.maxBytes) {
      this.fail(tooLarge(this.limits.maxBytes));
      return;
    }
    if (!this.limits.reservation.cover(this.buffer.heldBytes)) {
      const options = { retryAfterMs: 100 };
      const detail = 'no buffer left for the request';
      this.fail(createFailure(ResultCode.BufferExhausted, detail, options));
    }
  }

  private fail(failure: Failure): void {
    this.finish(Result.err(failure));
  }

  private finish(result: Result<Uint8Array, Failure>): void {
    if (this.ended) return;
    this.ended = true;
    this.cancelTimer();
    this.buffer.clear();
    this.resolve(result);
  }
}

function tooLarge(maxBytes: number): Failure {
  return createFailure(ResultCode.BodyTooLarge, `request body exceeds ${maxBytes} bytes`);
}

/** Splits an absolute request target (RFC 9112, section 3.2.2) into host and path. */
function splitTarget(target: string): { readonly path: string; readonly host?: string } {
  const match = /^https?:\/\/([^/?#]+)(.*)$/i.exec(target);
  if (match === null) return { path: target };
  const rest = match[2] ?? '';
  return { host: match[1] ?? '', path: rest.startsWith('/') ? rest : `/${rest}` };
}

/** Pairs raw names with values; the host of an absolute request target replaces the Host field. */
function readHeaders(raw: readonly string[], host: string | undefined): HeaderFields {
  const headers: [string, string][] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const isHost = host !== undefined && name.toLowerCase() === 'host';
    headers.push([name, isHost ? host : (raw[index + 1] ?? '')]);
  }
  return headers;
}

/** One caller's request and its answer, on top of `node:http`. */
import { hasBody } from '../../core/answer-body.js';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createFailure, type Failure } from '../../core/failure.js';
import { ResultCode } from '../../core/result-code.js';
import type { RawFields } from '../link/link-messages.js';

/** An answer to a caller. */
export interface CallerAnswer {
  readonly status: number;
  readonly fields: RawFields;
  readonly body: Uint8Array;
}

/** Reads one request and sends its answer. */
export class CallerExchange {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly fields: RawFields;
  private answered = false;

  constructor(
    readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    /** Monotonic time at which the head of the request had been read, in milliseconds. */
    readonly receivedAt: number,
  ) {
    this.method = request.method ?? '';
    this.path = request.url ?? '';
    this.fields = request.rawHeaders;
    response.on('error', () => {
      // Handled by the socket, which reports the end of the connection.
    });
  }

  /** Returns the value of a header field; `name` is in lower case. */
  field(name: string): string | undefined {
    const value = this.request.headers[name];
    return typeof value === 'string' ? value : undefined;
  }

  /** Whether the head announces a body. */
  get hasBody(): boolean {
    const { headers } = this.request;
    return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  }

  /** Declared length of the body in bytes; undefined: none is declared. */
  get declaredBodyBytes(): number | undefined {
    const length = this.request.headers['content-length'];
    return length === undefined ? undefined : Number(length);
  }

  /**
   * Sends the whole answer. Calls after a successful one have no effect.
   *
   * @param connectionFields header fields about the connection
   * @returns why the answer cannot be written (3002); nothing of it has been sent then
   */
  answer({ status, fields, body }: CallerAnswer, connectionFields: RawFields): Failure | undefined {
    const { response } = this;
    if (this.answered || response.destroyed) return undefined;
    const all = [...fields, ...connectionFields];
    const bodied = hasBody(status);
    if (bodied) all.push('Content-Length', String(body.length));
    try {
      response.writeHead(status, all);
    } catch (error) {
      const detail = `the answer cannot be written: ${(error as Error).message}`;
      return createFailure(ResultCode.AnswerIncomplete, detail);
    }
    this.answered = true;
    if (bodied && this.method !== 'HEAD' && body.length > 0) response.end(body);
    else response.end();
    return undefined;
  }
}

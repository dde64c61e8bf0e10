/** One caller's request and its answer, on top of `node:http`. */
import { hasBody } from '../../core/answer-body.js';
import { BodyBuffer } from '../../core/body-buffer.js';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { BufferReservation } from '../../core/byte-budget.js';
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

  /**
   * Reads the whole body. `onBody` is not called if the connection ends first.
   *
   * @param reservation grows to cover the bytes read so far
   */
  readBody(
    maxBytes: number,
    reservation: BufferReservation,
    onBody: (body: Uint8Array | Failure) => void,
  ): void {
    const { request } = this;
    const declared = request.headers['content-length'];
    if (declared === undefined && request.headers['transfer-encoding'] === undefined) {
      onBody(new Uint8Array(0));
      return;
    }
    const buffer = new BodyBuffer();
    let done = false;
    const finish = (body: Uint8Array | Failure): void => {
      if (done) return;
      done = true;
      onBody(body);
    };
    request.on('data', (chunk: Buffer) => {
      if (done) return;
      buffer.append(chunk);
      if (buffer.length > maxBytes) {
        finish(createFailure(ResultCode.BodyTooLarge, `request body exceeds ${maxBytes} bytes`));
      } else if (!reservation.cover(buffer.heldBytes)) {
        finish(createFailure(ResultCode.BufferExhausted, 'no buffer left for the request'));
      }
    });
    request.on('end', () => {
      if (!done) finish(buffer.take());
    });
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

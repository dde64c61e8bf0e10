/** Reads the body of one caller's request, within the limits on its size, its time and the buffers. */
import { BodyBuffer } from '../../core/body-buffer.js';
import { createFailure, type Failure } from '../../core/failure.js';
import { ResultCode } from '../../core/result-code.js';
import type { BodyEnd, UnfinishedBody } from '../../core/holding/unfinished-bodies.js';
import type { BodyIntake, BodyLimits } from './body-intake.js';
import type { CallerExchange } from './caller-exchange.js';

const BUFFER_RETRY_AFTER_MS = 100;

/** Takes the whole body, or why it was not read (1004, 1007, 2010). */
export type OnBody = (body: Uint8Array | Failure) => void;

/**
 * Reads the whole body. `onBody` is called once, unless the connection ends first: then
 * {@link BodyReader.cancel} must be called.
 */
export class BodyReader {
  private readonly buffer = new BodyBuffer();
  private readonly body: UnfinishedBody;
  private done = false;

  constructor(
    exchange: CallerExchange,
    intake: BodyIntake,
    private readonly limits: BodyLimits,
    private readonly onBody: OnBody,
  ) {
    this.body = intake.open(limits, (end) => {
      this.finish(this.describeEnd(end));
    });
    exchange.request.on('data', (chunk: Buffer) => {
      this.onChunk(chunk);
    });
    exchange.request.on('end', () => {
      if (!this.done) this.finish(this.buffer.take());
    });
  }

  /** Drops what was read; the connection has ended. */
  cancel(): void {
    this.done = true;
    this.body.finish();
    this.buffer.clear();
  }

  private onChunk(chunk: Buffer): void {
    if (this.done) return;
    if (this.buffer.length + chunk.length > this.limits.maxBytes) {
      this.finish(tooLarge(this.limits.maxBytes));
      return;
    }
    this.buffer.append(chunk);
    if (!this.body.cover(this.buffer.heldBytes)) this.finish(noBuffer());
  }

  private describeEnd(end: BodyEnd): Failure {
    if (end === 'yielded') return noBuffer();
    const detail = 'the body of the request was not received within its time';
    return createFailure(ResultCode.RequestReadTimeout, detail);
  }

  private finish(result: Uint8Array | Failure): void {
    if (this.done) return;
    this.done = true;
    this.body.finish();
    this.buffer.clear();
    this.onBody(result);
  }
}

/** Refusal of a body beyond the limit of the rules. */
export function tooLarge(maxBytes: number): Failure {
  return createFailure(ResultCode.BodyTooLarge, `request body exceeds ${maxBytes} bytes`);
}

function noBuffer(): Failure {
  const options = { retryAfterMs: BUFFER_RETRY_AFTER_MS };
  return createFailure(ResultCode.BufferExhausted, 'no buffer left for the request', options);
}

/** The envelope around every message on a link, and its BSON form. See docs/PEER-PROTOCOL.md. */
import { deserialize, serialize, setInternalBufferSize } from 'bson';
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../core/failure.js';
import { RESULT_CODES, ResultCode, type Execution } from '../core/result-code.js';

/** Types of frames. */
export type FrameType = 'hello' | 'proof' | 'call' | 'reply' | 'cancel' | 'goaway';

/** One frame as sent. */
export interface Envelope {
  readonly t: FrameType;
  /**
   * Correlation id, 1 and up, never reused on a connection; 0 in the handshake. In a
   * `goaway`, the last call that will be handled.
   */
  readonly id: number;
  /** Name of the call, or of the node in a hello. */
  readonly name?: string;
  readonly body?: unknown;
  /** Present in a reply that is an error. */
  readonly failure?: Failure;
}

const FRAME_TYPES: ReadonlySet<unknown> = new Set([
  'hello',
  'proof',
  'call',
  'reply',
  'cancel',
  'goaway',
]);
const EXECUTIONS: ReadonlySet<unknown> = new Set(['not-run', 'run', 'unknown']);
const DESERIALIZE_OPTIONS = { promoteBuffers: true };

/** Space in the codec's buffer beyond the largest frame, so that an overrun is detected. */
const OVERRUN_BYTES = 65_536;

/** Sizes the codec's buffer, one per process, for a frame limit. Call before encoding. */
export function reserveCodecBuffer(maxFrameBytes: number): void {
  setInternalBufferSize(maxFrameBytes + OVERRUN_BYTES);
}

/**
 * Encodes a frame. The codec's buffer is larger than the limit, so a message that is too
 * large is detected by its length or by the codec's range error.
 */
export function encodeFrame(envelope: Envelope, maxFrameBytes: number): Result<Buffer, Failure> {
  try {
    const bytes = serialize(envelope);
    if (bytes.length > maxFrameBytes) return tooLarge(maxFrameBytes);
    return Result.ok(bytes as Buffer);
  } catch (error) {
    if (error instanceof RangeError) return tooLarge(maxFrameBytes);
    return Result.err(
      createFailure(ResultCode.Internal, `message not encodable: ${String(error)}`),
    );
  }
}

/** Decodes a frame; binary members are views into it, without a copy. */
export function decodeFrame(frame: Buffer): Result<Envelope, Failure> {
  let value: Record<string, unknown>;
  try {
    value = deserialize(frame, DESERIALIZE_OPTIONS);
  } catch {
    return malformed('not a BSON document');
  }
  const { t, id, name, body, failure } = value;
  if (!FRAME_TYPES.has(t)) return malformed('unknown frame type');
  if (!Number.isSafeInteger(id) || (id as number) < 0) return malformed('invalid correlation id');
  if (name !== undefined && typeof name !== 'string') return malformed('invalid name');
  return Result.ok({
    t: t as FrameType,
    id: id as number,
    ...(name !== undefined && { name }),
    ...(body !== undefined && { body }),
    ...(failure !== undefined && { failure: readFailure(failure) }),
  });
}

/** Reads a failure from a peer; unknown codes become `Internal`. */
function readFailure(value: unknown): Failure {
  const { code, detail, execution, retryAfterMs } = (value ?? {}) as Record<string, unknown>;
  const known = RESULT_CODES.has(code as ResultCode) ? (code as ResultCode) : ResultCode.Internal;
  return createFailure(known, typeof detail === 'string' ? detail : '', {
    ...(EXECUTIONS.has(execution) && { execution: execution as Execution }),
    ...(typeof retryAfterMs === 'number' && { retryAfterMs }),
  });
}

function malformed(detail: string): Result<never, Failure> {
  return Result.err(createFailure(ResultCode.FrameMalformed, detail));
}

function tooLarge(maxFrameBytes: number): Result<never, Failure> {
  return Result.err(
    createFailure(ResultCode.FrameTooLarge, `message larger than ${maxFrameBytes} bytes`),
  );
}

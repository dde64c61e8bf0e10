/**
 * What one answer of a server may cost while it is received. Its body has a bound of its own; everything beside the
 * body (heads, interim answers, the framing of chunks, blank lines) may arrive without end too, and costs time and
 * objects rather than memory.
 */

/** Bounds on one answer, in bytes. */
export interface AnswerLimits {
  readonly maxBodyBytes: number;
  /** What may arrive beside the body; {@link OVERHEAD_PER_BODY_BYTE} times the body is added. */
  readonly maxOverheadBytes: number;
  /** Values in a body that is a JSON document; absent: the body is not parsed. */
  readonly maxValues?: number;
}

/** Why an answer is no longer received. */
export type AnswerExcess = 'answer-body' | 'answer-overhead' | 'answer-values';

const OVERHEAD_PER_BODY_BYTE = 2;
/** Chunks below this size cost an object each that is large beside their bytes. */
const SMALL_CHUNK_BYTES = 512;
/** What such a chunk counts for beside its bytes. */
const SMALL_CHUNK_COST_BYTES = 32;
/** What an interim answer counts for beside its bytes. */
const INTERIM_ANSWER_COST_BYTES = 256;

/** Bytes before which or after which a value stands in a JSON document: comma, opening bracket, opening brace. */
const VALUE_MARKS: ReadonlySet<number> = new Set([0x2c, 0x5b, 0x7b]);

/** An upper bound of the values that parsing the bytes creates; those of strings may count too. */
function countValues(bytes: Uint8Array): number {
  let count = 0;
  for (const byte of bytes) if (VALUE_MARKS.has(byte)) count += 1;
  return count;
}

/** Counts what is received for one answer. */
export class AnswerAllowance {
  private bodyBytes = 0;
  private costBytes = 0;
  private values = 0;

  constructor(private readonly limits: AnswerLimits) {}

  noteInterimAnswer(): void {
    this.costBytes += INTERIM_ANSWER_COST_BYTES;
  }

  /** A part of the body was received. */
  noteChunk(chunk: Uint8Array): AnswerExcess | undefined {
    const { maxBodyBytes, maxValues } = this.limits;
    this.bodyBytes += chunk.length;
    if (chunk.length < SMALL_CHUNK_BYTES) this.costBytes += SMALL_CHUNK_COST_BYTES;
    if (this.bodyBytes > maxBodyBytes) return 'answer-body';
    if (maxValues === undefined) return undefined;
    this.values += countValues(chunk);
    return this.values > maxValues ? 'answer-values' : undefined;
  }

  /** @param totalBytes all bytes that were received for the answer, those of the body included */
  noteReceived(totalBytes: number): AnswerExcess | undefined {
    const overheadBytes = totalBytes - this.bodyBytes + this.costBytes;
    const allowedBytes = this.limits.maxOverheadBytes + OVERHEAD_PER_BODY_BYTE * this.bodyBytes;
    return overheadBytes > allowedBytes ? 'answer-overhead' : undefined;
  }
}

/** Splits a byte stream into frames. A frame is one BSON document; its first int32 is its length. */
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';

/** Bytes of the length field that starts every BSON document. */
const LENGTH_BYTES = 4;

/** Smallest BSON document: the length field and the closing zero byte. */
const MIN_FRAME_BYTES = 5;

/** First size of the buffer of a frame that spans chunks, in bytes. */
const FIRST_BUFFER_BYTES = 256 * 1024;
const BUFFER_GROWTH = 4;

/** Receives a whole frame; returns false to stop the reader (the link has been closed). */
export type FrameListener = (frame: Buffer) => boolean;

/**
 * Incremental frame splitter. A frame that lies within one chunk is passed on without a
 * copy; one that spans chunks is collected in a buffer that grows with the bytes that arrive, so that
 * a length alone takes no memory.
 */
export class FrameReader {
  private readonly lengthField = Buffer.alloc(LENGTH_BYTES);
  private lengthFilled = 0;
  private partial: Buffer | undefined;
  private partialFilled = 0;
  /** Length of the frame that is being collected. */
  private partialLength = 0;

  /** Memory that an unfinished frame takes, in bytes. */
  get heldBytes(): number {
    return this.partial?.length ?? 0;
  }

  /** @param maxFrameBytes largest accepted frame; may change between frames */
  constructor(public maxFrameBytes: number) {}

  /**
   * Reads one chunk.
   *
   * @returns a failure (`FrameTooLarge`, `FrameMalformed`) as soon as a bad length is read;
   * the stream cannot be used afterwards
   */
  read(chunk: Buffer, onFrame: FrameListener): Failure | undefined {
    let offset = 0;
    while (offset < chunk.length) {
      if (this.partial === undefined && this.isWholeFrame(chunk, offset)) {
        const length = chunk.readInt32LE(offset);
        const failure = this.checkLength(length);
        if (failure !== undefined) return failure;
        if (!onFrame(chunk.subarray(offset, offset + length))) return undefined;
        offset += length;
        continue;
      }
      const step = this.collect(chunk, offset);
      if (typeof step !== 'number') return step;
      offset = step;
      const frame = this.takeCollected();
      if (frame !== undefined && !onFrame(frame)) return undefined;
    }
    return undefined;
  }

  private isWholeFrame(chunk: Buffer, offset: number): boolean {
    if (this.lengthFilled > 0 || chunk.length - offset < LENGTH_BYTES) return false;
    const length = chunk.readInt32LE(offset);
    return length < MIN_FRAME_BYTES || length <= chunk.length - offset;
  }

  /** Adds bytes to the length field or the partial frame; returns the new offset. */
  private collect(chunk: Buffer, offset: number): number | Failure {
    if (this.partial === undefined) {
      const end = Math.min(chunk.length, offset + LENGTH_BYTES - this.lengthFilled);
      chunk.copy(this.lengthField, this.lengthFilled, offset, end);
      this.lengthFilled += end - offset;
      if (this.lengthFilled < LENGTH_BYTES) return end;
      const length = this.lengthField.readInt32LE(0);
      const failure = this.checkLength(length);
      if (failure !== undefined) return failure;
      this.partial = Buffer.allocUnsafe(Math.min(length, FIRST_BUFFER_BYTES));
      this.lengthField.copy(this.partial);
      this.partialFilled = LENGTH_BYTES;
      this.partialLength = length;
      return end;
    }
    const end = Math.min(chunk.length, offset + this.partialLength - this.partialFilled);
    const partial = this.growPartial(this.partial, this.partialFilled + end - offset);
    chunk.copy(partial, this.partialFilled, offset, end);
    this.partialFilled += end - offset;
    return end;
  }

  private growPartial(partial: Buffer, neededBytes: number): Buffer {
    if (neededBytes <= partial.length) return partial;
    const size = Math.max(neededBytes, partial.length * BUFFER_GROWTH);
    const grown = Buffer.allocUnsafe(Math.min(this.partialLength, size));
    partial.copy(grown, 0, 0, this.partialFilled);
    this.partial = grown;
    return grown;
  }

  private takeCollected(): Buffer | undefined {
    if (this.partial === undefined || this.partialFilled < this.partialLength) return undefined;
    const frame = this.partial;
    this.partial = undefined;
    this.partialFilled = 0;
    this.lengthFilled = 0;
    return frame;
  }

  private checkLength(length: number): Failure | undefined {
    if (length < MIN_FRAME_BYTES) {
      return createFailure(ResultCode.FrameMalformed, `invalid frame length ${length}`);
    }
    if (length > this.maxFrameBytes) {
      const detail = `frame of ${length} bytes, limit ${this.maxFrameBytes}`;
      return createFailure(ResultCode.FrameTooLarge, detail);
    }
    return undefined;
  }
}

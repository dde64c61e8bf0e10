/**
 * Collects a body that arrives in chunks. Small chunks are copied into blocks, so that the memory
 * that a body takes follows its bytes, whatever the number of its chunks: a chunk that is kept as an
 * object of its own costs some hundred bytes beside its content.
 */

/** Chunks of this size and above are kept without a copy, in bytes. */
const LARGE_CHUNK_BYTES = 8 * 1024;
const BLOCK_BYTES = 16 * 1024;

/** The chunks of one body. */
export class BodyBuffer {
  private readonly whole: Buffer[] = [];
  /** Block that is being filled; at first the only small chunk itself. */
  private tail: Buffer | undefined;
  private tailFilled = 0;
  private bytes = 0;
  private blockBytes = 0;

  /** Bytes of the body so far. */
  get length(): number {
    return this.bytes;
  }

  /** Memory that the chunks take, in bytes. */
  get heldBytes(): number {
    return this.blockBytes;
  }

  append(chunk: Buffer): void {
    this.bytes += chunk.length;
    let rest = chunk;
    while (rest.length > 0) rest = this.appendPart(rest);
  }

  /** The whole body. The buffer is empty afterwards. */
  take(): Buffer {
    if (this.tail !== undefined) this.whole.push(this.tail.subarray(0, this.tailFilled));
    const body = this.whole.length === 1 ? this.whole[0]! : Buffer.concat(this.whole);
    this.clear();
    return body;
  }

  /** Drops all chunks. */
  clear(): void {
    this.whole.length = 0;
    this.tail = undefined;
    this.tailFilled = 0;
    this.bytes = 0;
    this.blockBytes = 0;
  }

  /** Appends the beginning of a chunk; returns the rest. */
  private appendPart(chunk: Buffer): Buffer {
    if (this.tail !== undefined) return this.fillTail(this.tail, chunk);
    if (chunk.length >= LARGE_CHUNK_BYTES) {
      this.whole.push(chunk);
      this.blockBytes += chunk.length;
    } else {
      this.startTail(chunk);
    }
    return chunk.subarray(chunk.length);
  }

  private startTail(chunk: Buffer): void {
    if (this.whole.length === 0) {
      // Most bodies are one chunk.
      this.tail = chunk;
      this.blockBytes += chunk.length;
    } else {
      this.tail = this.allocateBlock();
      chunk.copy(this.tail);
    }
    this.tailFilled = chunk.length;
  }

  private fillTail(tail: Buffer, chunk: Buffer): Buffer {
    if (tail.length < BLOCK_BYTES) return this.growTail(tail, chunk);
    const copied = chunk.copy(tail, this.tailFilled);
    this.tailFilled += copied;
    if (this.tailFilled === tail.length) {
      this.whole.push(tail);
      this.tail = undefined;
      this.tailFilled = 0;
    }
    return chunk.subarray(copied);
  }

  private growTail(tail: Buffer, chunk: Buffer): Buffer {
    const block = this.allocateBlock();
    tail.copy(block);
    this.blockBytes -= tail.length;
    this.tail = block;
    return chunk;
  }

  private allocateBlock(): Buffer {
    this.blockBytes += BLOCK_BYTES;
    // `allocUnsafeSlow` takes nothing from the shared pool, whose blocks other buffers keep alive.
    return Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }
}

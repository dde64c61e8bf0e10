/**
 * Writes log lines to a descriptor. Never blocks, never throws and never keeps the process from ending, whatever the
 * descriptor is: lines that are refused (a full disk, a closed pipe) or that nobody reads are left out and counted.
 */
import { write, writeSync } from 'node:fs';

/** Lines are buffered up to this many bytes or for this long, which saves writes. */
const FLUSH_BYTES = 8 * 1024;
const FLUSH_DELAY_MS = 250;
/** Bytes buffered while nobody reads the lines; further ones are left out. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Pause after a refused write, in milliseconds. */
const REFUSED_PAUSE_MS = 1_000;
/** Pause while a descriptor that does not block has no room, in milliseconds. */
const NO_ROOM_PAUSE_MS = 100;
const NO_ROOM: ReadonlySet<string | undefined> = new Set(['EAGAIN', 'EBUSY']);

/** Numbers of lines that were not written. */
export interface LeftOutLines {
  /** Left out while the buffer was full. */
  readonly notRead: number;
  /** Lost with a write that was refused. */
  readonly refused: number;
}

type OnWritten = (error: NodeJS.ErrnoException | null, writtenBytes: number) => void;
/** Writes some of the bytes, without blocking. */
export type WriteToDescriptor = (descriptor: number, bytes: Buffer, onWritten: OnWritten) => void;

/** Flushes buffered lines a fixed time after a request, so that no timer wakes an idle process. */
export class DelayedFlush {
  private scheduled = false;

  constructor(private readonly flush: () => void) {}

  /** Schedules a flush; does nothing when one is already scheduled. */
  request(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    setTimeout(() => {
      this.scheduled = false;
      this.flush();
    }, FLUSH_DELAY_MS).unref();
  }
}

/** Writes to one descriptor until the process ends. */
export class LineOutput {
  private lines: string[] = [];
  private bufferedBytes = 0;
  private isWriting = false;
  private notRead = 0;
  private refused = 0;
  private reported: LeftOutLines = { notRead: 0, refused: 0 };
  private readonly delayed = new DelayedFlush(() => {
    this.flush();
  });

  /**
   * @param onLeftOut called when lines are written again after others were left out
   * @param writeTo writes to a descriptor, as `write` of `node:fs` does
   */
  constructor(
    private readonly descriptor: number,
    private readonly onLeftOut: (lines: LeftOutLines) => void,
    private readonly writeTo: WriteToDescriptor = write,
  ) {
    process.once('exit', () => {
      this.writeRest();
    });
  }

  /** Lines left out since the start. */
  get leftOut(): LeftOutLines {
    return { notRead: this.notRead, refused: this.refused };
  }

  /** Accepts one line, which ends with a line break. */
  write(line: string): void {
    const bytes = Buffer.byteLength(line);
    if (this.bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
      this.notRead += 1;
      return;
    }
    this.lines.push(line);
    this.bufferedBytes += bytes;
    if (this.isWriting) return;
    if (this.bufferedBytes >= FLUSH_BYTES) this.flush();
    else this.delayed.request();
  }

  private flush(): void {
    if (this.isWriting || this.lines.length === 0) return;
    this.isWriting = true;
    const { lines } = this;
    this.lines = [];
    this.bufferedBytes = 0;
    this.writeChunk(Buffer.from(lines.join('')), lines.length);
  }

  private writeChunk(chunk: Buffer, lineCount: number): void {
    this.writeTo(this.descriptor, chunk, (error, written) => {
      const rest = error === null ? chunk.subarray(written) : chunk;
      if (NO_ROOM.has(error?.code)) {
        setTimeout(() => {
          this.writeChunk(rest, lineCount);
        }, NO_ROOM_PAUSE_MS).unref();
      } else if (error !== null) {
        this.refused += lineCount;
        setTimeout(() => {
          this.endWrite();
        }, REFUSED_PAUSE_MS).unref();
      } else if (rest.length > 0) {
        this.writeChunk(rest, lineCount);
      } else {
        this.endWrite();
        this.reportLeftOut();
      }
    });
  }

  private endWrite(): void {
    this.isWriting = false;
    if (this.lines.length > 0) this.delayed.request();
  }

  private reportLeftOut(): void {
    const { leftOut, reported } = this;
    const notRead = leftOut.notRead - reported.notRead;
    const refused = leftOut.refused - reported.refused;
    if (notRead === 0 && refused === 0) return;
    this.reported = leftOut;
    this.onLeftOut({ notRead, refused });
  }

  /** At the exit of the process. A write that is still in progress shows that the descriptor has no room. */
  private writeRest(): void {
    if (this.isWriting || this.lines.length === 0) return;
    try {
      writeSync(this.descriptor, this.lines.join(''));
    } catch {
      // The process ends, so there is nobody left to tell.
    }
  }
}

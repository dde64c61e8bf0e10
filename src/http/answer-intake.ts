/**
 * Receives the answers of servers within the bounds on what they may make this node hold. A server in trouble may
 * send bytes without end, in whatever part of an answer, until the caller closes the connection.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { hasBody } from '../core/answer-body.js';
import { BodyBuffer } from '../core/body-buffer.js';
import {
  AnswerAllowance,
  type AnswerExcess,
  type AnswerLimits,
} from '../core/holding/answer-allowance.js';
import type { AnswerBuffers, OpenAnswerBuffers } from '../core/holding/answer-buffers.js';

/** Limits that answers can reach; the last one is that of the buffers of all answers. */
export type AnswerLimit = AnswerExcess | 'answer-buffers';

export interface AnswerIntakeOptions {
  readonly limits: AnswerLimits;
  readonly openBuffers: OpenAnswerBuffers;
  /** Told of each answer that has reached a limit. */
  readonly onLimit: (limit: AnswerLimit) => void;
}

const EXCESS_TEXTS: Readonly<Record<AnswerLimit, string>> = {
  'answer-body': 'the answer is too long',
  'answer-overhead': 'the answer has too much beside its body',
  'answer-values': 'the answer has too many values',
  'answer-buffers': 'no buffer left for the answer',
};

/** Opens a reader for each answer. */
export class AnswerIntake {
  constructor(private readonly options: AnswerIntakeOptions) {}

  /**
   * Reads the answer to a request.
   *
   * @param onExcess called once, with a description, when the answer reaches a limit; the caller must then destroy
   * the request and call {@link AnswerReader.close}
   */
  open(request: ClientRequest, onExcess: (detail: string) => void): AnswerReader {
    return new AnswerReader(request, this.options, onExcess);
  }
}

/** Reads one answer. */
export class AnswerReader {
  private readonly allowance: AnswerAllowance;
  private readonly buffer = new BodyBuffer();
  private buffers: AnswerBuffers | undefined;
  private stopCounting = (): void => {};
  private ended = false;

  constructor(
    private readonly request: ClientRequest,
    private readonly options: AnswerIntakeOptions,
    private readonly onExcess: (detail: string) => void,
  ) {
    this.allowance = new AnswerAllowance(options.limits);
    request.on('information', () => {
      this.allowance.noteInterimAnswer();
    });
    request.on('socket', (socket) => {
      this.count(socket);
    });
  }

  /** Reads the body; `onChunk` is called for each part of it. */
  read(response: IncomingMessage, onChunk: () => void = () => {}): void {
    const declaredBytes = expectsBody(this.request, response)
      ? Number(response.headers['content-length'])
      : 0;
    if (declaredBytes > this.options.limits.maxBodyBytes) {
      this.exceed('answer-body');
      return;
    }
    response.on('data', (chunk: Buffer) => {
      onChunk();
      this.onChunk(chunk);
    });
  }

  /** The body, which is whole; the reader is closed. */
  take(): Buffer {
    const body = this.buffer.take();
    this.close();
    return body;
  }

  /** Drops what was read and releases the buffers; further calls have no effect. */
  close(): void {
    this.ended = true;
    this.stopCounting();
    this.buffer.clear();
    this.buffers?.release();
  }

  private count(socket: Socket): void {
    if (this.ended) return;
    const before = socket.bytesRead;
    const onBlock = (): void => {
      this.check(this.allowance.noteReceived(socket.bytesRead - before));
    };
    socket.on('data', onBlock);
    this.stopCounting = () => socket.off('data', onBlock);
  }

  private onChunk(chunk: Buffer): void {
    if (this.ended) return;
    this.check(this.allowance.noteChunk(chunk));
    if (this.ended) return;
    this.buffer.append(chunk);
    this.buffers ??= this.options.openBuffers(() => {
      this.exceed('answer-buffers');
    });
    if (!this.buffers.cover(this.buffer.heldBytes)) this.exceed('answer-buffers');
  }

  private check(excess: AnswerExcess | undefined): void {
    if (excess !== undefined) this.exceed(excess);
  }

  private exceed(limit: AnswerLimit): void {
    if (this.ended) return;
    this.close();
    this.options.onLimit(limit);
    this.onExcess(EXCESS_TEXTS[limit]);
  }
}

function expectsBody({ method }: ClientRequest, { statusCode = 0 }: IncomingMessage): boolean {
  return method !== 'HEAD' && hasBody(statusCode);
}

/**
 * Back-end client on `node:http`, because that shows exactly whether a byte has been sent and
 * whether an answer is complete; see docs/design/data-path.md.
 */
import {
  Agent,
  request as httpRequest,
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
} from 'node:http';
import type { Socket } from 'node:net';
import { hasBody, hasKnownLength } from '../core/answer-body.js';
import { isFinalStatus } from '../core/http-status.js';
import { connectionTokens } from '../core/forwarded-fields.js';
import { createFailure } from '../core/failure.js';
import type { HeaderFields, HttpRequest } from '../core/http-message.js';
import { ResultCode } from '../core/result-code.js';
import type { AnswerBuffers } from '../core/holding/answer-buffers.js';
import { AnswerIntake, type AnswerLimit, type AnswerReader } from '../http/answer-intake.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import type {
  BackendCallLimits,
  BackendClient,
  BackendClientOptions,
  BackendErrorCause,
  BackendResult,
} from './backend-client.js';

/** Closes idle connections well before back ends usually close them (5 s in Node). */
const FREE_SOCKET_TIMEOUT_MS = 4_000;

/**
 * Creates the client of one back end. Bytes that arrive on an idle connection close it: the
 * parser stays attached and parses them as a second answer (a contract test relies on it).
 */
export function createNodeBackendClient(
  options: BackendClientOptions,
  clock: Clock,
): BackendClient {
  const agent = new Agent({
    keepAlive: true,
    maxSockets: options.maxConnections,
    maxFreeSockets: options.maxConnections,
    scheduling: 'lifo',
    timeout: FREE_SOCKET_TIMEOUT_MS,
  });
  return {
    call: (message, limits) =>
      new Promise((resolve) => {
        new Exchange(message, options, agent, clock, limits, resolve).start();
      }),
    close: () => {
      agent.destroy();
    },
  };
}

const FAILURE_CODES: Readonly<Record<BackendErrorCause, ResultCode>> = {
  unreachable: ResultCode.TargetUnreachable,
  withdrawn: ResultCode.DeadlineExceeded,
  failed: ResultCode.AnswerIncomplete,
  timeout: ResultCode.AnswerTimeout,
  cancelled: ResultCode.Cancelled,
  'too-large': ResultCode.AnswerTooLarge,
  'buffer-exhausted': ResultCode.BufferExhausted,
};

/** What an answer may have beside its body and twice its bytes. */
const MAX_OVERHEAD_BYTES = 1024 * 1024;
const LIMIT_CAUSES: Partial<Record<AnswerLimit, BackendErrorCause>> = {
  'answer-body': 'too-large',
  'answer-buffers': 'buffer-exhausted',
};

/** One request and its answer. */
class Exchange {
  private request: ClientRequest | undefined;
  private sent = false;
  private ended = false;
  private cancelTimer: CancelTimer = () => {};
  private answer: AnswerReader | undefined;
  private readonly onAbort = (): void => {
    this.fail('cancelled', 'the caller went away');
  };

  constructor(
    private readonly message: HttpRequest,
    private readonly options: BackendClientOptions,
    private readonly agent: Agent,
    private readonly clock: Clock,
    private readonly limits: BackendCallLimits,
    private readonly resolve: (result: BackendResult) => void,
  ) {}

  start(): void {
    const { signal, timeoutMs } = this.limits;
    if (signal.aborted) {
      this.onAbort();
      return;
    }
    signal.addEventListener('abort', this.onAbort, { once: true });
    this.cancelTimer = this.clock.schedule(timeoutMs, () => {
      const what = this.sent ? 'answer' : 'connection';
      const detail = `no ${what} within ${Math.round(timeoutMs)} ms`;
      this.fail(this.sent ? 'timeout' : 'unreachable', detail);
    });
    try {
      this.open();
    } catch (error) {
      this.fail('withdrawn', String(error));
    }
  }

  private open(): void {
    const request = httpRequest({
      host: this.options.host,
      port: this.options.port,
      agent: this.agent,
      method: this.message.method,
      path: this.message.path,
      // An array of pairs keeps order and case; the published type lacks this form.
      headers: this.message.headers as unknown as OutgoingHttpHeaders,
    });
    this.request = request;
    this.answer = this.openAnswer(request);
    request.on('socket', (socket) => {
      this.onSocket(socket);
    });
    request.on('response', (response) => {
      this.onResponse(response);
    });
    request.on('upgrade', (_response, socket) => {
      socket.destroy();
      this.fail('failed', 'the back end switched protocols');
    });
    request.on('error', (error) => {
      this.fail(this.sent ? 'failed' : 'unreachable', error.message);
    });
    request.on('close', () => {
      this.fail(this.sent ? 'failed' : 'unreachable', 'connection closed');
    });
  }

  private onSocket(socket: Socket): void {
    if (!socket.connecting) {
      this.send();
      return;
    }
    socket.once('connect', () => {
      socket.setNoDelay(true);
      this.send();
    });
  }

  private send(): void {
    if (this.ended) return;
    if (!this.limits.mayStart()) {
      this.fail(
        'withdrawn',
        'the deadline or the time limit of the claim passed before the dispatch',
      );
      return;
    }
    this.sent = true;
    const { body } = this.message;
    this.request?.end(body.length > 0 ? body : undefined);
  }

  private onResponse(response: IncomingMessage): void {
    if (!isFinalStatus(response.statusCode)) {
      this.fail('failed', `the answer has no final status: ${response.statusCode}`);
      return;
    }
    const declared = Number(response.headers['content-length'] ?? 0);
    const expectsBody = this.message.method !== 'HEAD' && hasBody(response.statusCode);
    if (expectsBody && declared > this.limits.maxAnswerBytes) {
      this.fail('too-large', `answer of ${declared} bytes is too large`);
      return;
    }
    this.answer?.read(response);
    response.on('error', (error) => {
      this.fail('failed', error.message);
    });
    response.on('end', () => {
      this.onEnd(response);
    });
  }

  private openAnswer(request: ClientRequest): AnswerReader {
    const { maxAnswerBytes: maxBodyBytes, reserveBuffer } = this.limits;
    let cause: BackendErrorCause = 'failed';
    const intake = new AnswerIntake({
      limits: { maxBodyBytes, maxOverheadBytes: MAX_OVERHEAD_BYTES },
      openBuffers: () => coverBy(reserveBuffer),
      onLimit: (limit) => {
        cause = LIMIT_CAUSES[limit] ?? 'failed';
      },
    });
    return intake.open(request, (detail) => {
      this.fail(cause, detail);
    });
  }

  private onEnd(response: IncomingMessage): void {
    if (this.ended) return;
    const headers = pairHeaderFields(response.rawHeaders);
    if (!response.complete || !hasKnownLength(this.message.method, response)) {
      this.fail('failed', 'the answer ended early or has no length');
      return;
    }
    const body = this.answer!.take();
    this.finish();
    this.resolve({
      type: 'answer',
      answer: { status: response.statusCode!, headers, body },
      closes: connectionTokens(headers).has('close'),
    });
  }

  private fail(cause: BackendErrorCause, detail: string): void {
    if (this.ended) return;
    this.finish();
    const execution = this.sent ? 'unknown' : 'not-run';
    const failure = createFailure(FAILURE_CODES[cause], detail, { execution });
    this.resolve({ type: 'failure', cause, failure, sent: this.sent });
    // The connection is closed, so that a late answer can never reach another request.
    this.request?.destroy();
  }

  private finish(): void {
    this.ended = true;
    this.answer?.close();
    this.cancelTimer();
    this.limits.signal.removeEventListener('abort', this.onAbort);
  }
}

function pairHeaderFields(rawHeaders: readonly string[]): HeaderFields {
  const headers: [string, string][] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    headers.push([rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '']);
  }
  return headers;
}

/** Buffers that are released with the request. */
function coverBy(reserve: (bytes: number) => boolean): AnswerBuffers {
  let covered = 0;
  return {
    cover: (totalBytes) => {
      if (totalBytes <= covered) return true;
      if (!reserve(totalBytes - covered)) return false;
      covered = totalBytes;
      return true;
    },
    release: () => {},
  };
}

/**
 * Sends requests to the local target over a pool of connections. An answer is accepted only when it is
 * complete, has a final status and carries the identity of its request; after anything else the connection is
 * closed, so that no answer can reach another request.
 */
import {
  request as httpRequest,
  type ClientRequest,
  type IncomingMessage,
  type RequestOptions,
} from 'node:http';
import type { OutgoingHttpHeaders } from 'node:http';
import { connect, type Socket } from 'node:net';
import { hasKnownLength } from '../../core/answer-body.js';
import { isFinalStatus } from '../../core/http-status.js';
import { splitAddress } from '../../core/host-and-port.js';
import type { AnswerIntake, AnswerReader } from '../../http/answer-intake.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import type { RawFields } from '../link/link-messages.js';
import { ConnectionSilence } from './connection-silence.js';
import { TargetConnections } from './target-connections.js';

const CONNECT_TIMEOUT_MS = 1_000;

const CONNECTION_REFUSED = 'ECONNREFUSED';

/** A request as it is sent to the target. */
export interface TargetRequest {
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly fields: RawFields;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

/** Result of an exchange. */
export type ExchangeEnd =
  | {
      readonly type: 'answer';
      readonly status: number;
      readonly fields: RawFields;
      /** Field values by lower-case name. */
      readonly headers: Readonly<Record<string, unknown>>;
      readonly body: Uint8Array;
    }
  | {
      readonly type: 'failure';
      readonly cause: 'unreachable' | 'broken' | 'timeout';
      readonly detail: string;
      /** Whether a byte may have reached the target. */
      readonly sent: boolean;
    };

export interface TargetClientOptions {
  /** IP address and port. */
  readonly address: string;
  /** Name of the field that carries the identity of a request, in lower case. */
  readonly identityField: string;
  readonly clock: Clock;
  /** Receives the answers. */
  readonly answers: AnswerIntake;
}

/** Connections to one incarnation of the target. */
export class TargetClient {
  private readonly connections: TargetConnections;
  private readonly host: string;
  private readonly port: number;
  private readonly silence = new ConnectionSilence();

  constructor(private readonly options: TargetClientOptions) {
    const { host, port } = splitAddress(options.address);
    this.host = host;
    this.port = port;
    this.connections = new TargetConnections(options.clock);
  }

  /**
   * Sends a request.
   *
   * @returns aborts the exchange; `onEnd` is not called then
   */
  send(request: TargetRequest, onEnd: (end: ExchangeEnd) => void): () => void {
    const { connections, host, port, silence } = this;
    const { identityField, clock, answers } = this.options;
    // Each idle connection that has gone silent would cost a request.
    if (silence.isSuspected(clock.now())) connections.closeIdle();
    const options = { connections, host, port, identityField, clock, answers, silence };
    const exchange = new Exchange(request, options, onEnd);
    exchange.start();
    return () => {
      exchange.abort();
    };
  }

  /**
   * Reads the target's identity from its health check; undefined unless it answers 200 with an identity in time.
   *
   * @param timeoutMs time for the whole head of the answer, in milliseconds
   */
  probe(path: string, idField: string, timeoutMs: number): Promise<string | undefined> {
    return new Promise((resolve) => {
      const { host, port } = this;
      const request = createRequest({ host, port, path, agent: false });
      if (request === undefined) {
        resolve(undefined);
        return;
      }
      const end = (id?: string): void => {
        cancelTimer();
        resolve(id);
        request.destroy();
      };
      const cancelTimer = this.options.clock.schedule(timeoutMs, end);
      request.on('error', () => {
        end();
      });
      // Also after a switch of protocols, which has no other event.
      request.on('close', () => {
        end();
      });
      request.on('response', (response) => {
        const id = response.headers[idField];
        end(response.statusCode === 200 && typeof id === 'string' ? id : undefined);
      });
      request.end();
    });
  }

  /** Whether the target's machine refuses a new connection, as it does when no process listens. */
  refusesConnections(timeoutMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = connect({ host: this.host, port: this.port });
      const end = (refusing: boolean): void => {
        resolve(refusing);
        socket.destroy();
      };
      socket.setTimeout(timeoutMs, () => {
        end(false);
      });
      socket.on('error', (error: NodeJS.ErrnoException) => {
        end(error.code === CONNECTION_REFUSED);
      });
      socket.on('connect', () => {
        end(false);
      });
    });
  }

  /** See {@link TargetConnections.close}. */
  close(): void {
    this.connections.close();
  }
}

interface ExchangeOptions {
  readonly connections: TargetConnections;
  readonly host: string;
  readonly port: number;
  readonly identityField: string;
  readonly clock: Clock;
  readonly answers: AnswerIntake;
  readonly silence: ConnectionSilence;
}

/** One request and its answer. */
class Exchange {
  private request: ClientRequest | undefined;
  private sent = false;
  private ended = false;
  private cancelTimer: CancelTimer = () => {};
  private cancelConnectTimer: CancelTimer = () => {};
  private answer: AnswerReader | undefined;

  constructor(
    private readonly message: TargetRequest,
    private readonly options: ExchangeOptions,
    private readonly onEnd: (end: ExchangeEnd) => void,
  ) {}

  start(): void {
    const { connections, host, port, clock } = this.options;
    const { attemptId, method, path, fields, timeoutMs } = this.message;
    this.cancelTimer = clock.schedule(timeoutMs, () => {
      this.fail(this.sent ? 'timeout' : 'unreachable', 'answer timed out');
    });
    const headers = fields as unknown as OutgoingHttpHeaders;
    const { agent } = connections;
    let request: ClientRequest;
    connections.prepare(attemptId);
    try {
      request = httpRequest({ agent, host, port, method, path, headers });
    } catch (error) {
      this.fail('unreachable', String(error));
      return;
    }
    this.request = request;
    this.answer = this.options.answers.open(request, (detail) => {
      this.fail('broken', detail);
    });
    request.on('socket', (socket) => {
      this.onSocket(socket);
    });
    request.on('response', (response) => {
      this.onResponse(response);
    });
    request.on('upgrade', (_response, socket) => {
      socket.destroy();
      this.fail('broken', 'the target switched protocols');
    });
    request.on('error', (error) => {
      this.fail(this.sent ? 'broken' : 'unreachable', error.message);
    });
  }

  abort(): void {
    this.finish();
    this.request?.destroy();
  }

  private onSocket(socket: Socket): void {
    const { attemptId, timeoutMs } = this.message;
    this.options.connections.assign(socket, attemptId, timeoutMs);
    if (!socket.connecting) {
      this.write();
      return;
    }
    socket.setNoDelay(true);
    this.cancelConnectTimer = this.options.clock.schedule(CONNECT_TIMEOUT_MS, () => {
      this.fail('unreachable', 'connection timed out');
    });
    socket.once('connect', () => {
      this.cancelConnectTimer();
      this.write();
    });
  }

  private write(): void {
    if (this.ended) return;
    this.sent = true;
    const { silence, clock } = this.options;
    silence.noteSent(this, clock.now());
    const { body } = this.message;
    if (body.length > 0) this.request?.end(body);
    else this.request?.end();
  }

  private onResponse(response: IncomingMessage): void {
    const { silence, clock } = this.options;
    silence.noteReceived(clock.now());
    if (!isFinalStatus(response.statusCode)) {
      this.fail('broken', `the answer has no final status: ${response.statusCode}`);
      return;
    }
    if (response.headers[this.options.identityField] !== this.message.attemptId) {
      this.fail('broken', 'the answer belongs to another request');
      return;
    }
    this.answer?.read(response, () => {
      silence.noteReceived(clock.now());
    });
    response.on('error', (error) => {
      this.fail('broken', error.message);
    });
    response.on('end', () => {
      this.onAnswerEnd(response);
    });
  }

  private onAnswerEnd(response: IncomingMessage): void {
    if (this.ended) return;
    if (!response.complete || !hasKnownLength(this.message.method, response)) {
      this.fail('broken', 'the answer ended early or has no length');
      return;
    }
    const body = this.answer!.take();
    this.finish();
    this.onEnd({
      type: 'answer',
      status: response.statusCode!,
      fields: response.rawHeaders,
      headers: response.headers,
      body,
    });
  }

  private fail(cause: 'unreachable' | 'broken' | 'timeout', detail: string): void {
    if (this.ended) return;
    this.finish();
    this.request?.destroy();
    this.onEnd({ type: 'failure', cause, detail, sent: this.sent });
  }

  private finish(): void {
    this.ended = true;
    this.answer?.close();
    this.options.silence.noteEnded(this);
    this.cancelTimer();
    this.cancelConnectTimer();
  }
}

/** Creates a request; undefined when its path cannot be sent. */
function createRequest(options: RequestOptions): ClientRequest | undefined {
  try {
    return httpRequest(options);
  } catch {
    return undefined;
  }
}

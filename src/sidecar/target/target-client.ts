/**
 * Exchanges with the target beside this node, over a pool of connections. An answer counts only
 * when it is whole and carries the identity of its request; a connection on which anything else
 * was seen is closed, so that no answer can reach another request.
 */
import { Agent, request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import type { OutgoingHttpHeaders } from 'node:http';
import { connect, type Socket } from 'node:net';
import { hasKnownLength } from '../../core/answer-body.js';
import { splitAddress } from '../../core/host-and-port.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import type { RawFields } from '../link/link-messages.js';

/** Idle connections are closed after this, well before targets usually close them. */
const FREE_SOCKET_TIMEOUT_MS = 4_000;
/** Time for a new connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

const CONNECTION_REFUSED = 'ECONNREFUSED';

/** Longest answer that is held, in bytes. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** A request as it goes to the target. */
export interface TargetRequest {
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly fields: RawFields;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

/** How an exchange ended. */
export type ExchangeEnd =
  | {
      readonly type: 'answer';
      readonly status: number;
      readonly fields: RawFields;
      /** Fields by name in lower case. */
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

/** What a client is made from. */
export interface TargetClientOptions {
  /** IP address and port. */
  readonly address: string;
  /** Name of the field that carries the identity of a request, in lower case. */
  readonly identityField: string;
  readonly clock: Clock;
}

/** Connections to one incarnation of the target. */
export class TargetClient {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(private readonly options: TargetClientOptions) {
    const { host, port } = splitAddress(options.address);
    this.host = host;
    this.port = port;
    // First in, first out: bytes that nobody asked for show while a connection rests.
    this.agent = new Agent({
      keepAlive: true,
      scheduling: 'fifo',
      maxFreeSockets: Infinity,
      timeout: FREE_SOCKET_TIMEOUT_MS,
    });
  }

  /**
   * Sends a request.
   *
   * @returns breaks the exchange off; `onEnd` is not called then
   */
  send(request: TargetRequest, onEnd: (end: ExchangeEnd) => void): () => void {
    const { agent, host, port } = this;
    const { identityField, clock } = this.options;
    const exchange = new Exchange(request, { agent, host, port, identityField, clock }, onEnd);
    exchange.start();
    return () => {
      exchange.abort();
    };
  }

  /** Asks the target for its identity by its health check; undefined without a good answer. */
  probe(path: string, idField: string, timeoutMs: number): Promise<string | undefined> {
    return new Promise((resolve) => {
      const { host, port } = this;
      const request = httpRequest({ host, port, path, agent: false, timeout: timeoutMs });
      const end = (id: string | undefined): void => {
        resolve(id);
        request.destroy();
      };
      request.on('timeout', () => {
        end(undefined);
      });
      request.on('error', () => {
        end(undefined);
      });
      request.on('response', (response) => {
        const id = response.headers[idField];
        end(response.statusCode === 200 && typeof id === 'string' ? id : undefined);
      });
      request.end();
    });
  }

  /** Whether the target's machine refuses a new connection, as it does when no process listens there. */
  isRefusing(timeoutMs: number): Promise<boolean> {
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

  /**
   * Closes idle connections; running exchanges go on and their connections end with them. The
   * agent's own `destroy` would cut those off too.
   */
  close(): void {
    const { agent } = this;
    agent.maxFreeSockets = 0;
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of [...(sockets ?? [])]) socket.destroy();
    }
  }
}

interface ExchangeOptions {
  readonly agent: Agent;
  readonly host: string;
  readonly port: number;
  readonly identityField: string;
  readonly clock: Clock;
}

/** One request and its answer. */
class Exchange {
  private request: ClientRequest | undefined;
  private sent = false;
  private ended = false;
  private cancelTimer: CancelTimer = () => {};
  private cancelConnectTimer: CancelTimer = () => {};
  private readonly chunks: Buffer[] = [];
  private received = 0;

  constructor(
    private readonly message: TargetRequest,
    private readonly options: ExchangeOptions,
    private readonly onEnd: (end: ExchangeEnd) => void,
  ) {}

  start(): void {
    const { agent, host, port, clock } = this.options;
    const { method, path, fields, timeoutMs } = this.message;
    this.cancelTimer = clock.schedule(timeoutMs, () => {
      this.fail(this.sent ? 'timeout' : 'unreachable', 'no answer in time');
    });
    const headers = fields as unknown as OutgoingHttpHeaders;
    let request: ClientRequest;
    try {
      request = httpRequest({ agent, host, port, method, path, headers });
    } catch (error) {
      this.fail('unreachable', String(error));
      return;
    }
    this.request = request;
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
    if (!socket.connecting) {
      this.write();
      return;
    }
    socket.setNoDelay(true);
    this.cancelConnectTimer = this.options.clock.schedule(CONNECT_TIMEOUT_MS, () => {
      this.fail('unreachable', 'no connection in time');
    });
    socket.once('connect', () => {
      this.cancelConnectTimer();
      this.write();
    });
  }

  private write(): void {
    if (this.ended) return;
    this.sent = true;
    const { body } = this.message;
    if (body.length > 0) this.request?.end(body);
    else this.request?.end();
  }

  private onResponse(response: IncomingMessage): void {
    if (response.headers[this.options.identityField] !== this.message.attemptId) {
      this.fail('broken', 'the answer belongs to another request');
      return;
    }
    response.on('data', (chunk: Buffer) => {
      this.received += chunk.length;
      if (this.received > MAX_ANSWER_BYTES) this.fail('broken', 'the answer is too long');
      else this.chunks.push(chunk);
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
    this.finish();
    const { chunks } = this;
    this.onEnd({
      type: 'answer',
      status: response.statusCode ?? 0,
      fields: response.rawHeaders,
      headers: response.headers,
      body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks),
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
    this.cancelTimer();
    this.cancelConnectTimer();
  }
}

/** The listener of the callers' interface. {@link EntryServer} hides the HTTP library. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import express from 'express';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { HttpAnswer } from '../core/http-message.js';
import type { Clock } from '../kernel/clock.js';
import { listenOn, type PortBinder } from '../kernel/port-binder.js';
import { AcceptBurst } from '../http/accept-burst.js';
import {
  ConnectionGuard,
  type ClientLimit,
  type ClientLimits,
  type LimitReporter,
} from '../http/connection-guard.js';
import { HttpExchange } from './http-exchange.js';

/**
 * Idle time after which a keep-alive connection is closed. `Keep-Alive` announces whole seconds,
 * 5, to callers; the rest lets a request that was sent at the last moment still be served.
 */
export const KEEP_ALIVE_TIMEOUT_MS = 5_900;
const CONNECTION_CHECK_INTERVAL_MS = 250;
const MAX_HEADER_BYTES = 16_384;
const TOO_MANY_RETRY_MS = 500;

/** HTTP libraries that can serve the listener; docs/design/data-path.md compares them. */
export type EntryFramework = 'node-http' | 'express';

export interface EntryServerOptions {
  readonly host: string;
  readonly port: number;
  readonly framework: EntryFramework;
  /** Time limit for receiving the head of a request. */
  readonly headersTimeoutMs: number;
  readonly limits: ClientLimits;
  /** Told when a caller reaches one of the limits; closed with the server. */
  readonly reports: LimitReporter<ClientLimit>;
  readonly clock: Clock;
  /** Tries a port that is taken again; absent: the start fails at once. */
  readonly binder?: PortBinder;
  readonly onExchange: (exchange: HttpExchange) => void;
  /** Returns the answer to input that is not a valid request. */
  readonly onBadInput: (failure: Failure) => HttpAnswer;
}

/** A started listener. */
export interface EntryServer {
  readonly port: number;
  /** Open connections. */
  readonly connections: number;
  /** Exchanges whose answers are not fully written. */
  readonly unfinishedExchanges: number;
  /** Refuses new connections. Serves open ones; idle ones close after the keep-alive timeout. */
  stopListening(): void;
  /** Closes everything. */
  close(): Promise<void>;
}

/** Starts to listen. Rejects when the address cannot be bound. */
export async function startEntryServer(options: EntryServerOptions): Promise<EntryServer> {
  const connections = new Connections(options);
  const burst = new AcceptBurst(options.clock);
  const server = createServer({
    headersTimeout: options.headersTimeoutMs,
    // The time for bodies is limited by the exchange, which knows the request kind.
    requestTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    requireHostHeader: false,
    noDelay: true,
  });
  server.on('connection', (socket) => {
    burst.noteConnection();
    connections.open(socket);
  });
  // The connection was idle for too long. Requests that arrive while it closes are not accepted.
  server.on('timeout', (socket) => {
    connections.finish(socket);
  });
  attachListeners(server, options, connections, burst);
  const { host, port, binder } = options;
  const listen = (): Promise<number> => listenOn(server, host, port);
  await (binder === undefined ? listen() : binder.bind('entry', listen));
  return {
    port: (server.address() as AddressInfo).port,
    get connections() {
      return connections.size;
    },
    get unfinishedExchanges() {
      return connections.unfinishedExchanges;
    },
    stopListening: () => {
      // Closing the listener resets connections that the operating system has accepted and the
      // server has not.
      burst.runAfterAccepts(() => {
        // The HTTP server's own close also closes idle connections, on which a caller may be
        // sending at that moment.
        NetServer.prototype.close.call(server);
      });
    },
    close: () => closeServer(server, connections),
  };
}

function attachListeners(
  server: Server,
  options: EntryServerOptions,
  connections: Connections,
  burst: AcceptBurst,
): void {
  const accept = (
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): void => {
    const exchange = connections.accept(request, response, expectsContinue);
    if (exchange === undefined) return;
    if (exchange === 'refused') {
      refuse(options, response);
      return;
    }
    const handle = (): void => {
      if (!exchange.signal.aborted) options.onExchange(exchange);
    };
    // A body is read at once: while nobody reads it, each of its chunks is kept as an object.
    if (exchange.declaredLength() === 0) burst.run(handle);
    else handle();
  };
  const listener = createListener(options.framework, (request, response) => {
    accept(request, response, false);
  });
  server.on('request', listener);
  const withExpectation = (request: IncomingMessage, response: ServerResponse): void => {
    accept(request, response, true);
  };
  server.on('checkContinue', withExpectation);
  server.on('checkExpectation', withExpectation);
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (connections.prepareErrorAnswer(socket)) rejectInput(options, socket, toInputFailure(error));
  });
  server.on('connect', (_request, socket) => {
    const detail = 'CONNECT is not served';
    rejectInput(options, socket, createFailure(ResultCode.MalformedRequest, detail));
  });
}

/** Open connections and the newest exchange on each; pipelining allows several exchanges. */
class Connections {
  private readonly guard: ConnectionGuard;
  private readonly newestExchange = new WeakMap<Duplex, HttpExchange>();
  private readonly clock: Clock;

  constructor({ limits, clock, reports }: EntryServerOptions) {
    this.clock = clock;
    this.guard = new ConnectionGuard(limits, clock, reports);
  }

  get size(): number {
    return this.guard.size;
  }

  /** Exchanges whose answers are not fully written. */
  get unfinishedExchanges(): number {
    return this.guard.unfinishedCount;
  }

  open(socket: Socket): void {
    this.guard.open(socket);
  }

  /** Accepts a request unless its connection is closing; `refused`: callers hold too many. */
  accept(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): HttpExchange | 'refused' | undefined {
    const { guard } = this;
    const connection = guard.of(request.socket);
    if (connection === undefined) return undefined;
    const slot = guard.accept(connection, request, response);
    if (slot === undefined || slot === 'refused') return slot;
    const noteChunk = (bytes: number): void => {
      guard.noteChunk(connection, bytes);
    };
    const beginAnswer = (bytes: number, wantsClose: boolean): boolean => {
      guard.noteAnswer(connection, slot, bytes);
      const closes = (wantsClose || !connection.acceptsRequests) && connection.isNewest(slot);
      if (closes) connection.finish();
      return closes;
    };
    const listener = { beginAnswer, noteChunk };
    const exchange = new HttpExchange(request, response, this.clock, expectsContinue, listener);
    slot.request = {
      onConnectionEnd: () => exchange.abandon(),
      giveUp: () => {
        // Requests that are left at the end of a stop are cut off with their connections.
      },
    };
    this.newestExchange.set(request.socket, exchange);
    return exchange;
  }

  /** Accepts no further requests on a connection; it closes after the answers to accepted ones. */
  finish(socket: Duplex): void {
    this.guard.of(socket)?.finish();
  }

  /**
   * Returns whether bad input on a connection may be answered on it: no other request is
   * unanswered, or only the one that contains the bad input, which is then abandoned. Otherwise
   * the connection closes after the answers to the requests that were read on it.
   */
  prepareErrorAnswer(socket: Duplex): boolean {
    const connection = this.guard.of(socket);
    if (connection === undefined || connection.unfinishedCount === 0) return true;
    const newest = this.newestExchange.get(socket);
    if (connection.unfinishedCount > 1 || newest?.awaitsRequest !== true) {
      connection.finish();
      return false;
    }
    newest.abandon();
    return true;
  }

  destroyAll(): void {
    this.guard.destroyAll();
    this.guard.close();
  }
}

type RequestListener = (request: IncomingMessage, response: ServerResponse) => void;

function createListener(framework: EntryFramework, handle: RequestListener): RequestListener {
  if (framework === 'node-http') return handle;
  const application = express();
  application.disable('x-powered-by');
  application.use((request, response) => {
    handle(request, response);
  });
  return application as unknown as RequestListener;
}

function closeServer(server: Server, connections: Connections): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    connections.destroyAll();
  });
}

function toInputFailure(error: NodeJS.ErrnoException): Failure {
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return createFailure(
      ResultCode.RequestReadTimeout,
      'the head of the request was not received in time',
    );
  }
  return createFailure(ResultCode.MalformedRequest, error.code ?? 'not HTTP');
}

/** Refuses a request unread, since callers hold too many; it is not run. */
function refuse(options: EntryServerOptions, response: ServerResponse): void {
  const detail = 'too many requests are unanswered';
  const failure = createFailure(ResultCode.BufferExhausted, detail, {
    retryAfterMs: TOO_MANY_RETRY_MS,
  });
  const { status, headers, body } = options.onBadInput(failure);
  const fields = headers.flatMap(([name, value]) => [name, value]);
  fields.push('Content-Length', String(body.length), 'Connection', 'close');
  response.writeHead(status, fields).end(body);
}

/** Answers on the raw connection and closes it. */
function rejectInput(options: EntryServerOptions, socket: Duplex, failure: Failure): void {
  const answer = options.onBadInput(failure);
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  socket.end(serializeAnswer(answer), () => {
    socket.destroy();
  });
}

function serializeAnswer({ status, headers, body }: HttpAnswer): Buffer {
  const fields = [
    ...headers,
    ['Content-Length', String(body.length)] as const,
    ['Connection', 'close'] as const,
  ];
  const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return Buffer.concat([Buffer.from(`HTTP/1.1 ${status} \r\n${lines}\r\n`, 'latin1'), body]);
}

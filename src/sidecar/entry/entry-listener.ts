/** The callers' interface: connections, requests on them and their answers, on `node:http`. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import { AcceptBurst } from '../../http/accept-burst.js';
import type { Clock } from '../../kernel/clock.js';
import type { CallerLimits } from '../rules/routing-rules.js';
import type { RawFields } from '../link/link-messages.js';
import {
  CallerConnection,
  type ConnectionSlot,
  type TakenRequest,
} from '../../http/caller-connection.js';
import { CallerExchange, type CallerAnswer } from './caller-exchange.js';

const MAX_HEADER_BYTES = 64 * 1024;
/** How late the end of the time for a request's head may be noticed; each check wakes the process. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** A connection is kept this much longer than its caller is told. */
const IDLE_GRACE_MS = 1_500;

/** Serves the requests that the listener takes. */
export interface ExchangeHandler {
  /** Takes one request, which is answered at most once. */
  handle(exchange: CallerExchange, answer: (answer: CallerAnswer) => void): TakenRequest;
  /** A request came on a connection that ends without an answer to it; it is not run. */
  onNotTaken(exchange: CallerExchange): void;
}

/** See the module comment. */
export class EntryListener {
  private readonly server: Server;
  private readonly connections = new Map<Socket, CallerConnection>();
  /** Each answer closes its connection. */
  private draining = false;
  /** Settles when the address is free; defined once no request is taken any more. */
  private closed: Promise<void> | undefined;
  private keepAliveFields: RawFields = [];
  private readonly burst: AcceptBurst;

  constructor(
    private readonly handler: ExchangeHandler,
    private readonly clock: Clock,
  ) {
    this.burst = new AcceptBurst(clock);
    this.server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      requireHostHeader: false,
      noDelay: true,
    });
    this.server.on('connection', (socket) => {
      this.onConnection(socket);
    });
    this.server.on('request', (request, response) => {
      this.onRequest(request, response);
    });
    // A connection that was idle for too long; what crosses its end is not taken.
    this.server.on('timeout', (socket) => {
      this.connections.get(socket)?.finish();
    });
    this.server.on('clientError', (_error, socket) => {
      this.onInputError(socket as Socket);
    });
  }

  /** Connections that are open. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Requests whose answers are not wholly written. */
  get requestCount(): number {
    let count = 0;
    for (const connection of this.connections.values()) count += connection.unfinishedCount;
    return count;
  }

  /** Takes over what the rules say of callers. */
  setLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.server.headersTimeout = headerTimeoutMs + IDLE_GRACE_MS;
    this.server.keepAliveTimeout = idleTimeoutMs + IDLE_GRACE_MS;
    const seconds = Math.max(1, Math.floor(idleTimeoutMs / MS_PER_SECOND));
    this.keepAliveFields = ['Connection', 'keep-alive', 'Keep-Alive', `timeout=${seconds}`];
  }

  /** Rejects when the address cannot be bound. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** From now on each answer closes its connection, unless others wait behind it. */
  closeAfterAnswers(): void {
    this.draining = true;
  }

  /** From now on no connection and no request is taken; connections end with their answers. */
  finish(): void {
    if (this.closed !== undefined) return;
    this.closed = new Promise((resolve) => {
      // Not the HTTP server's own close, which destroys idle connections. After the connections that
      // wait have been accepted, so that they are ended in order and not reset.
      this.burst.afterWaiting(() => {
        NetServer.prototype.close.call(this.server, () => resolve());
      });
    });
    for (const connection of [...this.connections.values()]) connection.finish();
  }

  /** Has all requests answered now. */
  giveUp(): void {
    this.burst.release();
    for (const connection of [...this.connections.values()]) connection.giveUp();
  }

  /** Closes everything; what is cut off is told at once. Resolves when the address is free. */
  async close(): Promise<void> {
    this.finish();
    this.destroyAll();
    await new Promise<void>((resolve) => {
      this.burst.afterWaiting(resolve);
    });
    this.destroyAll();
    await this.closed;
  }

  private destroyAll(): void {
    for (const connection of [...this.connections.values()]) connection.destroy();
  }

  private onConnection(socket: Socket): void {
    this.burst.noteConnection();
    const connection = new CallerConnection(socket, this.clock, () => {
      this.connections.delete(socket);
    });
    this.connections.set(socket, connection);
    if (this.closed !== undefined) connection.finish();
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket);
    const exchange = new CallerExchange(request, response, this.clock.now());
    if (connection?.takesRequests !== true) {
      request.resume();
      this.handler.onNotTaken(exchange);
      return;
    }
    const slot = connection.take(response);
    this.burst.run(() => {
      this.handle(connection, slot, exchange);
    });
  }

  private handle(
    connection: CallerConnection,
    slot: ConnectionSlot,
    exchange: CallerExchange,
  ): void {
    if (!connection.awaitsAnswer(slot)) {
      this.handler.onNotTaken(exchange);
      return;
    }
    slot.request = this.handler.handle(exchange, (answer) => {
      this.answer(connection, slot, exchange, answer);
    });
  }

  private answer(
    connection: CallerConnection,
    slot: ConnectionSlot,
    exchange: CallerExchange,
    answer: CallerAnswer,
  ): void {
    if (slot.answered) return;
    slot.answered = true;
    const closes = this.shouldClose(connection, slot, exchange.request);
    if (closes) connection.finish();
    exchange.answer(answer, closes ? ['Connection', 'close'] : this.keepAliveFields);
  }

  /**
   * Answers leave in the order of their requests, in whichever order they are ready: one that closes
   * the connection before the newest request's turn would lose the answers behind it.
   */
  private shouldClose(
    connection: CallerConnection,
    slot: ConnectionSlot,
    request: IncomingMessage,
  ): boolean {
    if (request.headers.connection?.toLowerCase() === 'close') return true;
    if (!connection.isNewest(slot)) return false;
    return this.draining || !connection.takesRequests || !request.complete;
  }

  /** Input that is not HTTP, or a head that is late: what was taken before it is still answered. */
  private onInputError(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined || connection.unfinishedCount === 0) socket.destroy();
    else connection.finish();
  }
}

/** Serves the callers' interface over `node:http`: connections, their requests and the answers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import type { Failure } from '../../core/failure.js';
import { AcceptBurst } from '../../http/accept-burst.js';
import type { Clock } from '../../kernel/clock.js';
import { listenOn } from '../../kernel/port-binder.js';
import type { CallerLimits } from '../rules/routing-rules.js';
import type { RawFields } from '../link/link-messages.js';
import type {
  AcceptedRequest,
  CallerConnection,
  ConnectionSlot,
} from '../../http/caller-connection.js';
import type { ConnectionGuard } from '../../http/connection-guard.js';
import { onEachRequest } from '../../http/on-each-request.js';
import { CallerExchange, type CallerAnswer } from './caller-exchange.js';

/** Largest header section before rules are in force, in bytes. */
const MAX_HEADER_BYTES = 64 * 1024;
/** The parser counts some bytes of the request line and separators too, in bytes. */
const HEADER_SLACK_BYTES = 1_024;
const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';
const HEADER_TOO_LARGE_ANSWER =
  'HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';
/** Longest delay until a late request head is noticed. A shorter interval would wake the process more often. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Connections stay open for this much longer than the time that callers are told. */
const IDLE_GRACE_MS = 1_500;

/** Handles the requests that the listener accepts. */
export interface ExchangeHandler {
  /**
   * Handles one request, which is answered at most once.
   *
   * @param defer runs the work for a request whose body is whole, after a burst of new connections
   */
  handle(
    exchange: CallerExchange,
    answer: (answer: CallerAnswer) => void,
    defer: (work: () => void) => void,
  ): AcceptedRequest;
  /** A request is dropped because its connection ends without an answer to it; it is not run. */
  onRequestDropped(exchange: CallerExchange): void;
  /** A request is refused unread, since callers hold too many; it is not run. */
  onTooManyRequests(): CallerAnswer;
  /** The answer to a request cannot be written; returns the one that is sent in its place. */
  onUnwritableAnswer(exchange: CallerExchange, failure: Failure): CallerAnswer;
}

/** Listener of the callers' interface. */
export class EntryListener {
  private readonly server: Server;
  /** Whether each answer closes its connection. */
  private draining = false;
  /** Resolves when the address is free; defined once no more requests are accepted. */
  private closed: Promise<void> | undefined;
  private keepAliveFields: RawFields = [];
  private readonly burst: AcceptBurst;

  constructor(
    private readonly handler: ExchangeHandler,
    private readonly guard: ConnectionGuard,
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
    onEachRequest(this.server, (request, response) => {
      this.onRequest(request, response);
    });
    // The connection was idle for too long. Requests that cross its end are not accepted.
    this.server.on('timeout', (socket) => {
      this.guard.of(socket)?.finish();
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.onInputError(error, socket as Socket);
    });
  }

  /** Open connections. */
  get connectionCount(): number {
    return this.guard.size;
  }

  /** Requests whose answers are not fully written. */
  get requestCount(): number {
    return this.guard.unfinishedCount;
  }

  /** Applies the rules' limits on callers. */
  setLimits({ headerTimeoutMs, idleTimeoutMs, maxHeaderBytes }: CallerLimits): void {
    // Read by the server for each new connection; the types know only the option of the constructor.
    const server = this.server as Server & { maxHeaderSize: number };
    server.maxHeaderSize = maxHeaderBytes + HEADER_SLACK_BYTES;
    this.server.headersTimeout = headerTimeoutMs + IDLE_GRACE_MS;
    this.server.keepAliveTimeout = idleTimeoutMs + IDLE_GRACE_MS;
    const seconds = Math.max(1, Math.floor(idleTimeoutMs / MS_PER_SECOND));
    this.keepAliveFields = ['Connection', 'keep-alive', 'Keep-Alive', `timeout=${seconds}`];
  }

  /** Resolves with the port; rejects when the address cannot be bound. */
  listen(host: string, port: number): Promise<number> {
    return listenOn(this.server, host, port);
  }

  /** From now on each answer closes its connection, unless later requests of the connection are unanswered. */
  closeAfterAnswers(): void {
    this.draining = true;
  }

  /** Accepts no more connections and requests. Connections end after their pending answers. */
  finish(): void {
    if (this.closed !== undefined) return;
    this.closed = new Promise((resolve) => {
      // Waits until pending connections have been accepted, so that they are closed in order and not reset.
      // Uses net.Server's close, since that of the HTTP server destroys idle connections.
      this.burst.runAfterAccepts(() => {
        NetServer.prototype.close.call(this.server, () => resolve());
      });
    });
    for (const connection of this.guard.connections) connection.finish();
  }

  /** Makes all unanswered requests answer now. */
  giveUp(): void {
    this.burst.release();
    for (const connection of this.guard.connections) connection.giveUp();
  }

  /** Closes everything and notifies the requests that are cut off. Resolves when the address is free. */
  async close(): Promise<void> {
    this.finish();
    this.guard.destroyAll();
    await new Promise<void>((resolve) => {
      this.burst.runAfterAccepts(resolve);
    });
    this.guard.destroyAll();
    this.guard.close();
    await this.closed;
  }

  private onConnection(socket: Socket): void {
    this.burst.noteConnection();
    const connection = this.guard.open(socket);
    if (this.closed !== undefined) connection?.finish();
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.guard.of(request.socket);
    const accepted = connection && this.guard.accept(connection, request, response);
    if (connection === undefined || accepted === undefined) {
      this.onIgnored(connection, request, response);
      return;
    }
    const exchange = new CallerExchange(request, response, this.clock.now());
    if (accepted === 'refused') {
      exchange.answer(this.handler.onTooManyRequests(), ['Connection', 'close']);
      return;
    }
    const slot = accepted;
    const handle = (): void => {
      this.handle(connection, slot, exchange);
    };
    // A body is read at once: while nobody reads it, each of its chunks is kept as an object.
    if (!exchange.hasBody) {
      this.burst.run(handle);
      return;
    }
    this.guard.readBody(connection, request);
    handle();
  }

  /** Reports the first request that is ignored on a connection; a client may send thousands. */
  private onIgnored(
    connection: CallerConnection | undefined,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (connection !== undefined && connection.hasReportedIgnored) return;
    if (connection !== undefined) connection.hasReportedIgnored = true;
    this.handler.onRequestDropped(new CallerExchange(request, response, this.clock.now()));
  }

  private handle(
    connection: CallerConnection,
    slot: ConnectionSlot,
    exchange: CallerExchange,
  ): void {
    if (!connection.awaitsAnswer(slot)) {
      this.handler.onRequestDropped(exchange);
      return;
    }
    slot.request = this.handler.handle(
      exchange,
      (answer) => {
        this.answer(connection, slot, exchange, answer);
      },
      (work) => {
        this.burst.run(work);
      },
    );
  }

  private answer(
    connection: CallerConnection,
    slot: ConnectionSlot,
    exchange: CallerExchange,
    answer: CallerAnswer,
  ): void {
    if (slot.answered) return;
    const closes = this.shouldClose(connection, slot, exchange.request);
    if (closes) connection.finish();
    const connectionFields = closes ? ['Connection', 'close'] : this.keepAliveFields;
    this.guard.noteAnswer(connection, slot, answer.body.length);
    const failure = exchange.answer(answer, connectionFields);
    if (failure === undefined) return;
    const replacement = this.handler.onUnwritableAnswer(exchange, failure);
    if (exchange.answer(replacement, connectionFields) !== undefined) connection.destroy();
  }

  /**
   * Answers are sent in the order of their requests, whichever is ready first. If an answer before that of
   * the newest request closed the connection, the answers after it would be lost.
   */
  private shouldClose(
    connection: CallerConnection,
    slot: ConnectionSlot,
    request: IncomingMessage,
  ): boolean {
    if (request.headers.connection?.toLowerCase() === 'close') return true;
    if (!connection.isNewest(slot)) return false;
    return this.draining || !connection.acceptsRequests || !request.complete;
  }

  /** The input is not HTTP, or a request head is late. Requests accepted before it are still answered. */
  private onInputError({ code }: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.guard.of(socket);
    if (connection === undefined) {
      socket.destroy();
    } else if (connection.unfinishedCount > 0) {
      connection.finish();
    } else if (code === HEADER_OVERFLOW) {
      // Repeated for each block that still arrives; closing at once could lose the answer.
      if (connection.acceptsRequests) socket.write(HEADER_TOO_LARGE_ANSWER);
      connection.finish();
    } else {
      socket.destroy();
    }
  }
}

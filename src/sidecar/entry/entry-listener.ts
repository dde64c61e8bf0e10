/** The callers' interface: connections, requests on them and their answers, on `node:http`. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '../rules/routing-rules.js';
import type { RawFields } from '../link/link-messages.js';
import { CallerExchange, type CallerAnswer, type ConnectionSide } from './caller-exchange.js';

const MAX_HEADER_BYTES = 64 * 1024;
const CONNECTION_CHECK_INTERVAL_MS = 500;
const MS_PER_SECOND = 1_000;
/** A connection is kept this much longer than its caller is told. */
const IDLE_GRACE_MS = 1_500;

/** Takes one request; returns what ends it when its connection ends. */
export type ExchangeHandler = (
  exchange: CallerExchange,
  answer: (answer: CallerAnswer) => void,
) => (endedBy: ConnectionSide) => void;

/** A connection and the requests on it that are not answered yet. */
interface Connection {
  readonly running: Set<() => void>;
  /** Who ends it, as far as is known. */
  endedBy: ConnectionSide;
}

/** See the module comment. */
export class EntryListener {
  private readonly server: Server;
  private readonly connections = new Map<Socket, Connection>();
  private closing = false;
  private keepAliveFields: RawFields = [];

  constructor(private readonly handle: ExchangeHandler) {
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
    this.server.on('clientError', (_error, socket) => {
      socket.destroy();
    });
  }

  /** Connections that are open. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Requests that are not answered. */
  get requestCount(): number {
    let count = 0;
    for (const { running } of this.connections.values()) count += running.size;
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
    this.closing = true;
  }

  /** Closes connections that no request is on; returns how many are left. */
  closeIdle(): number {
    for (const [socket, connection] of this.connections) {
      if (connection.running.size > 0) continue;
      connection.endedBy = 'node';
      socket.end();
    }
    return this.requestCount;
  }

  /** Closes everything. */
  close(): void {
    this.server.close();
    for (const [socket, connection] of this.connections) {
      connection.endedBy = 'node';
      socket.destroy();
    }
  }

  private onConnection(socket: Socket): void {
    const connection: Connection = { running: new Set(), endedBy: 'caller' };
    this.connections.set(socket, connection);
    socket.on('close', () => {
      this.connections.delete(socket);
      for (const cancel of connection.running) cancel();
      connection.running.clear();
    });
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(request.socket);
    if (connection === undefined) {
      response.destroy();
      return;
    }
    const { running } = connection;
    const exchange = new CallerExchange(request, response, () => connection.endedBy);
    let cancelRequest: (endedBy: ConnectionSide) => void = () => {};
    const onConnectionEnd = (): void => {
      cancelRequest(connection.endedBy);
    };
    running.add(onConnectionEnd);
    cancelRequest = this.handle(exchange, (answer) => {
      running.delete(onConnectionEnd);
      exchange.answer(answer, this.connectionFields(running.size === 0, request));
    });
  }

  /** An answer that closes the connection would lose the answers behind it. */
  private connectionFields(isLast: boolean, request: IncomingMessage): RawFields {
    if (isLast && (this.closing || !request.complete)) return ['Connection', 'close'];
    const wish = request.headers.connection?.toLowerCase();
    if (wish === 'close') return ['Connection', 'close'];
    return this.keepAliveFields;
  }
}

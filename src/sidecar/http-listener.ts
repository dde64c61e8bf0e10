/** A low-traffic HTTP server with bounds on what its clients may hold and a graceful close. */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { ConnectionGuard } from '../http/connection-guard.js';
import { onEachRequest } from '../http/on-each-request.js';
import { listenOn } from '../kernel/port-binder.js';

/** Time that requests in progress get to complete when the server closes. */
const CLOSE_GRACE_MS = 300;
/** Time for a whole request to arrive. */
const REQUEST_TIMEOUT_MS = 5_000;
const CONNECTION_CHECK_INTERVAL_MS = 1_000;
/** Answers of these servers are small; their number is bounded. */
const ANSWER_BYTES = 0;

export class HttpListener {
  private readonly server: Server;
  private readonly running = new Set<ServerResponse>();

  constructor(
    private readonly handle: RequestListener,
    private readonly guard: ConnectionGuard,
  ) {
    this.server = createServer({
      requestTimeout: REQUEST_TIMEOUT_MS,
      headersTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      requireHostHeader: false,
    });
    this.server.on('connection', (socket) => {
      this.guard.open(socket);
    });
    onEachRequest(this.server, (request, response) => {
      this.onRequest(request, response);
    });
    this.server.on('clientError', (_error, socket) => socket.destroy());
  }

  /** Resolves with the port; rejects when the address cannot be bound. */
  listen(host: string, port: number): Promise<number> {
    return listenOn(this.server, host, port);
  }

  /** Closes when the requests in progress are answered or their time is up; allowed before `listen`. */
  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    for (const response of this.running) {
      if (!response.headersSent) response.setHeader('Connection', 'close');
    }
    const timer = setTimeout(() => {
      this.server.closeAllConnections();
    }, CLOSE_GRACE_MS);
    await closed;
    clearTimeout(timer);
    this.guard.close();
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    const accepted = this.guard.acceptOrRefuse(request, response);
    if (accepted === undefined) return;
    const { connection, slot } = accepted;
    // The time to read the answer begins at once: these requests are answered without delay.
    this.guard.noteAnswer(connection, slot, ANSWER_BYTES);
    this.running.add(response);
    const end = (): void => {
      this.running.delete(response);
    };
    response.once('finish', end);
    // A response that waits behind another one is not told that its connection has closed.
    slot.request = { onConnectionEnd: end, giveUp: () => {} };
    this.guard.readBody(connection, request);
    this.handle(request, response);
  }
}

/** A low-traffic HTTP server with a graceful close. */
import { createServer, type RequestListener, type Server, type ServerResponse } from 'node:http';

/** Time that requests in progress get to complete when the server closes. */
const CLOSE_GRACE_MS = 300;

export class HttpListener {
  private readonly server: Server;
  private readonly running = new Set<ServerResponse>();

  constructor(handle: RequestListener) {
    this.server = createServer((request, response) => {
      this.running.add(response);
      response.on('close', () => this.running.delete(response));
      handle(request, response);
    });
    this.server.on('clientError', (_error, socket) => socket.destroy());
  }

  /** Rejects when the address cannot be bound. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
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
  }
}

/** Start and end of a low-traffic HTTP server. */
import { createServer, type RequestListener, type Server, type ServerResponse } from 'node:http';

/** Time for calls that are under way when the server ends, in milliseconds. */
const LAST_CALLS_MS = 300;

/** A server with the two ends of its life. */
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

  /** Ends when the calls under way are answered, or soon; harmless before `listen`. */
  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    for (const response of this.running) {
      if (!response.headersSent) response.setHeader('Connection', 'close');
    }
    const timer = setTimeout(() => {
      this.server.closeAllConnections();
    }, LAST_CALLS_MS);
    await closed;
    clearTimeout(timer);
  }
}

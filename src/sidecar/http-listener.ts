/** Start and end of a low-traffic HTTP server. */
import { createServer, type RequestListener, type Server } from 'node:http';

/** A server with the two ends of its life. */
export class HttpListener {
  private readonly server: Server;

  constructor(handle: RequestListener) {
    this.server = createServer(handle);
    this.server.on('clientError', (_error, socket) => socket.destroy());
  }

  /** Rejects when the address cannot be bound. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Closes all connections; harmless before `listen`. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

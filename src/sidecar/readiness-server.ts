/** Tells the platform whether this node takes requests, and its metrics; on `node:http`. */
import { createServer, type Server } from 'node:http';

const OK = 200;
const UNAVAILABLE = 503;
const NOT_FOUND = 404;

/** See the module comment. */
export class ReadinessServer {
  private readonly server: Server;

  /** @param path path of the question */
  constructor(path: string, isReady: () => boolean) {
    this.server = createServer((request, response) => {
      const status = request.url === path ? (isReady() ? OK : UNAVAILABLE) : NOT_FOUND;
      response.writeHead(status).end();
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

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

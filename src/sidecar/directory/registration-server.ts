/** The address at which the target beside this node registers; low traffic, on `node:http`. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { PlatformAdapter, RegistrationMessage } from '../platform-adapter.js';

/** Largest report that is read, in bytes. */
const MAX_BODY_BYTES = 4 * 1024;
const BAD_REQUEST = 400;
const OK = 200;

/**
 * Takes one report.
 *
 * @returns the status of the answer: 200 once the report is acknowledged
 */
export type RegistrationHandler = (message: RegistrationMessage) => Promise<number>;

/** See the module comment. */
export class RegistrationServer {
  private readonly server: Server;

  constructor(
    private readonly adapter: PlatformAdapter,
    private readonly handle: RegistrationHandler,
  ) {
    this.server = createServer((request, response) => {
      this.read(request, response);
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

  private read(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > MAX_BODY_BYTES) request.destroy();
      else chunks.push(chunk);
    });
    request.on('error', () => {
      // The sender went away; it calls again.
    });
    request.on('end', () => {
      void this.answer(request, response, Buffer.concat(chunks));
    });
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): Promise<void> {
    const message = this.adapter.parseRegistration(request.method ?? '', request.url ?? '', body);
    const status = message === undefined ? BAD_REQUEST : await this.handle(message);
    const { contentType, body: answer } = this.adapter.acknowledgement;
    if (status === OK) response.writeHead(OK, { 'Content-Type': contentType }).end(answer);
    else response.writeHead(status).end();
  }
}

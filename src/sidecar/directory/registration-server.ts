/** HTTP server with which the local target registers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { BodyBuffer } from '../../core/body-buffer.js';
import type { ConnectionGuard } from '../../http/connection-guard.js';
import { HttpListener } from '../http-listener.js';
import type {
  PlatformAdapter,
  RegistrationMessage,
  UnreadableReport,
} from '../platform-adapter.js';

/** Largest accepted report, in bytes. */
const MAX_BODY_BYTES = 4 * 1024;
const OK = 200;

/**
 * Handles one report.
 *
 * @returns the HTTP status: 200 when the report is acknowledged
 */
export type RegistrationHandler = (
  message: RegistrationMessage | UnreadableReport,
) => Promise<number>;

/** Creates the server without starting to listen. */
export function createRegistrationServer(
  adapter: PlatformAdapter,
  guard: ConnectionGuard,
  handle: RegistrationHandler,
): HttpListener {
  return new HttpListener((request, response) => {
    new RegistrationCall(adapter, handle, request, response).read();
  }, guard);
}

/** One registration request, from its header to its response. */
class RegistrationCall {
  constructor(
    private readonly adapter: PlatformAdapter,
    private readonly handle: RegistrationHandler,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
  ) {}

  read(): void {
    const { request } = this;
    const buffer = new BodyBuffer();
    request.on('data', (chunk: Buffer) => {
      if (buffer.length + chunk.length > MAX_BODY_BYTES) request.destroy();
      else buffer.append(chunk);
    });
    request.on('error', () => {
      // The sender disconnected; it sends the report again.
    });
    request.on('end', () => {
      void this.answer(buffer.take());
    });
  }

  private async answer(body: Buffer): Promise<void> {
    const { adapter, request, response } = this;
    const message = adapter.parseRegistration(request.method ?? '', request.url ?? '', body);
    const status = await this.handle(message);
    const { contentType, body: answer } = adapter.acknowledgement;
    if (status === OK) response.writeHead(OK, { 'Content-Type': contentType }).end(answer);
    else response.writeHead(status).end();
  }
}

/** HTTP requests and raw bytes from the caller's side, for contract tests. */
import { Agent, request as httpRequest, type OutgoingHttpHeaders } from 'node:http';
import { connect } from 'node:net';

/** A complete answer. */
export interface TestAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** Parameters of one request. */
export interface TestRequest {
  readonly port: number;
  readonly path: string;
  readonly method?: string;
  readonly host?: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: string;
  readonly agent?: Agent;
  readonly signal?: AbortSignal;
}

/** Sends a request and waits for the whole answer. */
export function send(options: TestRequest): Promise<TestAnswer> {
  const { port, path, method = 'GET', host = 'guide', headers, body, agent, signal } = options;
  return new Promise((resolve, reject) => {
    const request = httpRequest({
      host: '127.0.0.1',
      port,
      path,
      method,
      headers: { ...headers, host },
      agent: agent ?? false,
      ...(signal === undefined ? {} : { signal }),
    });
    request.on('error', reject);
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', reject);
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString('latin1');
        resolve({ status: response.statusCode ?? 0, headers: response.headers, body: text });
      });
    });
    request.end(body);
  });
}

/** Writes raw text to a port and returns everything received until the connection closes. */
export function sendRaw(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    let received = '';
    const socket = connect(port, '127.0.0.1', () => socket.write(text, 'latin1'));
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => {
      // A reset ends the exchange; `close` follows.
    });
    socket.on('close', () => {
      resolve(received);
    });
  });
}

/** One HTTP exchange over a keep-alive agent, with a time limit and cancellation. */
import { Agent, request as startRequest, type IncomingHttpHeaders } from 'node:http';

/** Idle connections of the stand-ins are closed after this time, before a node closes them. */
const IDLE_TIMEOUT_MS = 1_500;

/** Creates the keep-alive pool of one stand-in. */
export function createAgent(): Agent {
  return new Agent({ keepAlive: true, timeout: IDLE_TIMEOUT_MS });
}

/** What is sent. */
export interface ExchangeRequest {
  /** Base URL of a node or a back end, `http://127.0.0.1:8080`. */
  readonly base: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly agent: Agent;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal | undefined;
}

/** How an exchange ended. */
export type ExchangeResult =
  | {
      readonly type: 'answer';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  /** No answer before the time limit. */
  | { readonly type: 'timeout' }
  /** The connection was refused, or the request was withdrawn before it was sent. */
  | { readonly type: 'not-sent'; readonly error: string }
  /** The connection ended before the answer was complete. */
  | { readonly type: 'cut'; readonly error: string };

/** Sends a request and reads the answer whole; never rejects. */
export function exchange(options: ExchangeRequest): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    let timedOut = false;
    const url = new URL(options.base);
    const outgoing = startRequest({
      host: url.hostname,
      port: url.port,
      method: options.method,
      path: options.path,
      headers: { ...options.headers, 'content-length': options.body.length },
      agent: options.agent,
      ...(options.signal === undefined ? {} : { signal: options.signal }),
    });
    const timer = setTimeout(() => {
      timedOut = true;
      outgoing.destroy();
    }, options.timeoutMs);
    const finish = (result: ExchangeResult): void => {
      clearTimeout(timer);
      resolve(timedOut ? { type: 'timeout' } : result);
    };
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      const notSent = error.code === 'ECONNREFUSED' || error.code === 'EHOSTUNREACH';
      finish({ type: notSent ? 'not-sent' : 'cut', error: error.message });
    });
    outgoing.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', (error) => {
        finish({ type: 'cut', error: error.message });
      });
      response.on('end', () => {
        const { statusCode: status = 0, headers } = response;
        finish({ type: 'answer', status, headers, body: Buffer.concat(chunks) });
      });
    });
    outgoing.end(options.body);
  });
}

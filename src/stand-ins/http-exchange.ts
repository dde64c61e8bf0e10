/** One HTTP exchange over a keep-alive agent, with a time limit and cancellation. */
import { Agent, request as startRequest, type IncomingHttpHeaders } from 'node:http';

/** Idle time after which a stand-in closes a connection, which is before a node closes it. */
const IDLE_TIMEOUT_MS = 1_500;

/** Creates the keep-alive connection pool of one stand-in. */
export function createAgent(): Agent {
  return new Agent({ keepAlive: true, timeout: IDLE_TIMEOUT_MS });
}

/** A request with its destination and time limit. */
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
  /** The connection was refused or the host was unreachable. */
  | { readonly type: 'not-sent'; readonly error: string }
  /** The connection ended before the answer was complete. */
  | { readonly type: 'cut'; readonly error: string };

/** Sends a request and reads the whole answer; never rejects. */
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

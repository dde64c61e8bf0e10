/** A back end on raw TCP whose script controls every byte, for contract tests. */
import { createServer, type AddressInfo, type Socket } from 'node:net';

/** A received request and the connection on which it is answered. */
export interface RawRequest {
  readonly head: string;
  readonly path: string;
  readonly socket: Socket;
}

/** Handles each request; `answerPlain` is the default. */
export type BackendScript = (request: RawRequest) => void;

/** A started back end. */
export interface ScriptedBackend {
  readonly port: number;
  /** Paths of all requests except health polls, in order. */
  readonly seen: readonly string[];
  /** Heads of all requests except health polls, in order. */
  readonly heads: readonly string[];
  /** Open connections. */
  readonly connections: number;
  setScript(script: BackendScript): void;
  close(): Promise<void>;
}

/** Answers 200 with the path as its body. */
export function answerPlain({ socket, path }: RawRequest): void {
  socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${path.length}\r\n\r\n${path}`);
}

/** Answers with the given bytes, and ends the connection if `end` is true. */
export function replyWith(text: string, end = false): BackendScript {
  return ({ socket }) => {
    socket.write(text, 'latin1');
    if (end) socket.end();
  };
}

/** Starts a back end; health polls are answered with `serving`. */
export async function startScriptedBackend(script = answerPlain): Promise<ScriptedBackend> {
  let current: BackendScript = script;
  const seen: string[] = [];
  const heads: string[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => {
      // Resets are part of the scripts.
    });
    readRequests(socket, (request) => {
      if (request.path === '/health') {
        answerHealth(socket);
        return;
      }
      seen.push(request.path);
      heads.push(request.head);
      current(request);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    seen,
    heads,
    get connections() {
      return sockets.size;
    },
    setScript: (next) => {
      current = next;
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        for (const socket of sockets) socket.destroy();
      }),
  };
}

function answerHealth(socket: Socket): void {
  const body = '{"state":"serving"}';
  socket.end(
    `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`,
  );
}

/** Splits the stream into requests with `Content-Length` bodies. */
function readRequests(socket: Socket, onRequest: (request: RawRequest) => void): void {
  let buffered = '';
  socket.on('data', (chunk: Buffer) => {
    buffered += chunk.toString('latin1');
    for (let end = endOfRequest(buffered); end > 0; end = endOfRequest(buffered)) {
      const head = buffered.slice(0, buffered.indexOf('\r\n\r\n'));
      buffered = buffered.slice(end);
      onRequest({ head, path: head.split(' ')[1] ?? '', socket });
    }
  });
}

function endOfRequest(text: string): number {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return 0;
  const length = Number(/\r\ncontent-length: *(\d+)/i.exec(text.slice(0, headEnd))?.[1] ?? 0);
  const end = headEnd + 4 + length;
  return text.length >= end ? end : 0;
}

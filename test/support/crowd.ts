/** A crowd of clients that send bytes and read nothing. */
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const CHECK_INTERVAL_MS = 100;
/** Checks without progress after which what is left unsent counts as held up by the server. */
const SETTLED_CHECKS = 15;

/** What each client of a crowd does. */
export interface CrowdPlan {
  readonly address: string;
  readonly clients: number;
  /** Sent at once by every client when all are connected. */
  readonly bytes: Buffer;
  /** Whether each client sends as soon as it is connected instead. */
  readonly sendsOnConnect?: boolean;
}

/** Open connections whose answers are not read. */
export class Crowd {
  private readonly sockets: Socket[] = [];

  /** Connects all clients and sends; resolves when the server reads no more from any of them. */
  static async send({ address, clients, bytes, sendsOnConnect }: CrowdPlan): Promise<Crowd> {
    const crowd = new Crowd();
    const first = sendsOnConnect === true ? bytes : undefined;
    await Promise.all(Array.from({ length: clients }, () => crowd.open(address, first)));
    if (first === undefined) for (const socket of crowd.sockets) socket.write(bytes);
    await crowd.settle();
    return crowd;
  }

  /** Closes all connections. */
  leave(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  private open(address: string, first: Buffer | undefined): Promise<void> {
    const [host = '', port = ''] = address.split(':');
    const socket = connect(Number(port), host);
    this.sockets.push(socket);
    socket.pause();
    if (first !== undefined) socket.write(first);
    return new Promise((resolve) => {
      socket.once('connect', resolve);
      socket.on('error', () => {
        // The server may refuse a client or close its connection.
        resolve();
      });
    });
  }

  private async settle(): Promise<void> {
    let unchanged = 0;
    let last = -1;
    while (unchanged < SETTLED_CHECKS) {
      const unsent = this.unsentBytes();
      unchanged = unsent === last ? unchanged + 1 : 0;
      last = unsent;
      await sleep(CHECK_INTERVAL_MS);
    }
  }

  private unsentBytes(): number {
    // `writableLength` shrinks only when a whole buffer is written; the handle knows the rest.
    type Handle = { readonly writeQueueSize: number } | null;
    const unsent = (socket: Socket): number =>
      (socket as unknown as { readonly _handle: Handle })._handle?.writeQueueSize ?? 0;
    return this.sockets.reduce((sum, socket) => sum + (socket.destroyed ? 0 : unsent(socket)), 0);
  }
}

/** A chunked body that stops short of its end: all chunks, and no last one. */
export function chunkedBody(head: string, chunkBytes: number, chunks: number): Buffer {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  return Buffer.from(`${head}Transfer-Encoding: chunked\r\n\r\n${chunk.repeat(chunks)}`);
}

/** A body with a declared length that stops one byte short of it. */
export function declaredBody(head: string, bodyBytes: number): Buffer {
  return Buffer.from(`${head}Content-Length: ${bodyBytes}\r\n\r\n${'x'.repeat(bodyBytes - 1)}`);
}

/** The same request many times. */
export function sentAhead(request: string, times: number): Buffer {
  return Buffer.from(request.repeat(times));
}

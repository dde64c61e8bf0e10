/** TLS handshakes of connections that peers open to this node. */
import type { Socket } from 'node:net';
import { createServer, type Server, type TLSSocket } from 'node:tls';
import type { MutualTls } from '../config/tls-settings.js';
import { HANDSHAKE_TIMEOUT_MS } from './peer-link.js';
import { createTlsOptions } from './tls-options.js';

/** Options of a {@link TlsAcceptor}. */
export interface TlsAcceptorOptions {
  readonly tls: MutualTls;
  /** Called when a peer has presented a certificate of the authority. */
  readonly onAccepted: (socket: TLSSocket) => void;
  /** Called when the handshake has failed; the connection is closed already. */
  readonly onRejected: (from: string, detail: string) => void;
}

/** Performs the TLS handshakes of connections that another server has accepted. */
export class TlsAcceptor {
  /** Connections in their handshake, by the peer's address and port. */
  private readonly handshaking = new Map<string, Socket>();
  private readonly server: Server;

  constructor({ tls, onAccepted, onRejected }: TlsAcceptorOptions) {
    // Never listens: it gets its connections from `accept`.
    this.server = createServer({
      ...createTlsOptions(tls),
      requestCert: true,
      rejectUnauthorized: true,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
    });
    this.server.on('secureConnection', (socket) => {
      this.handshaking.delete(describeRemote(socket));
      onAccepted(socket);
    });
    this.server.on('tlsClientError', (error: NodeJS.ErrnoException, socket) => {
      // The reason why a certificate was refused is only set on the socket.
      const refused = socket.authorizationError as unknown;
      const detail = typeof refused === 'string' ? refused : (error.code ?? error.message);
      onRejected(describeRemote(socket), detail);
      socket.destroy();
    });
  }

  /** Connections in their handshake. */
  get pending(): number {
    return this.handshaking.size;
  }

  /** Starts the handshake of a connection. */
  accept(socket: Socket): void {
    const remote = describeRemote(socket);
    this.handshaking.set(remote, socket);
    socket.once('close', () => this.handshaking.delete(remote));
    socket.on('error', () => {});
    this.server.emit('connection', socket);
  }

  /** Aborts the handshakes in progress. */
  close(): void {
    for (const socket of this.handshaking.values()) socket.destroy();
  }
}

function describeRemote({ remoteAddress, remotePort }: Socket): string {
  return `${remoteAddress ?? '?'}:${remotePort ?? '?'}`;
}

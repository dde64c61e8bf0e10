/** TLS options of both ends of a link between nodes. */
import { connect as connectTcp, type Socket } from 'node:net';
import { connect as connectTls, type SecureContextOptions } from 'node:tls';
import type { HostAndPort } from '../core/host-and-port.js';
import type { MutualTls } from '../config/tls-settings.js';

/** Creates the options that both ends share. */
export function createTlsOptions({ certificate, key, ca }: MutualTls): SecureContextOptions {
  return { cert: certificate, key, ca, minVersion: 'TLSv1.3' };
}

/**
 * Connects to a peer, with TLS when it is given. The peer's certificate must come from the
 * authority; its names are not compared, since machines and their addresses change. The handshake
 * of the link, inside TLS, proves which node the peer is.
 */
export function connectToPeer(address: HostAndPort, tls: MutualTls | undefined): Socket {
  if (tls === undefined) return connectTcp(address);
  return connectTls({
    ...address,
    ...createTlsOptions(tls),
    rejectUnauthorized: true,
    checkServerIdentity: () => undefined,
  });
}

/** Whether an error of a socket comes from TLS and not from the network below it. */
export function isTlsError({ code, syscall }: NodeJS.ErrnoException): boolean {
  return syscall === undefined || code === 'EPROTO';
}

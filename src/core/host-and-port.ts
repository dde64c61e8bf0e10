/** Addresses as settings, records and the platform write them, taken apart. */

/** A host, which is an IP address here, and a port. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Takes `127.0.0.1:8080` or `[::1]:8080` apart; whoever read the address has checked its form. */
export function splitAddress(address: string): HostAndPort {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}

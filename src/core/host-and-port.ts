/** Splits addresses in the form that settings, records and the platform use. */

/** A host, always an IP address, and a port. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `127.0.0.1:8080` or `[::1]:8080`; the form was checked when the address was read. */
export function splitAddress(address: string): HostAndPort {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}

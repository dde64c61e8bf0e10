/** An IP address and port as settings write them, taken apart. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Takes `10.0.0.1:8080` apart. */
export function splitAddress(address: string): HostAndPort {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

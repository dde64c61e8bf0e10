/** Ports for tests whose settings must name one: bound once to port 0, then free again. */
import { createServer, type AddressInfo } from 'node:net';

/** Finds `count` different free ports on loopback. */
export async function reservePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  for (const server of servers) {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  }
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

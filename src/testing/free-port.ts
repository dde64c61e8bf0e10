/** Ports for servers whose settings need a number; for tests. */
import { createServer, type AddressInfo } from 'node:net';

/** Finds a port of the loopback address that is free now. */
export function findFreePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => {
        resolve(port);
      });
    });
  });
}

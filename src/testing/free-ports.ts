/** Free ports on loopback for processes that take their addresses from flags. */
import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';

/** Below the range from which the system takes ports for outgoing connections. */
const LOWEST_PORT = 20_000;
const HIGHEST_PORT = 32_000;

/**
 * Finds ports that are free for TCP and UDP on 127.0.0.1. They are not reserved: somebody
 * else may take one before its process does, which then fails to start.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  const span = HIGHEST_PORT - LOWEST_PORT;
  let candidate = LOWEST_PORT + Math.floor(Math.random() * span);
  while (found.length < count) {
    candidate = candidate + 1 >= HIGHEST_PORT ? LOWEST_PORT : candidate + 1;
    if ((await isTcpFree(candidate)) && (await isUdpFree(candidate))) found.push(candidate);
  }
  return found;
}

function isTcpFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

function isUdpFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => {
      resolve(false);
    });
    socket.bind(port, '127.0.0.1', () => {
      socket.close(() => {
        resolve(true);
      });
    });
  });
}

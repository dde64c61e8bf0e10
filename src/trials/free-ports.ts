/** Free ports on loopback for processes that take their addresses from flags. */
import { createSocket } from 'node:dgram';
import { createServer, type Server } from 'node:net';

/** Below the range from which the system takes ports for outgoing connections. */
const LOWEST_PORT = 20_000;
const HIGHEST_PORT = 32_000;
const BLOCK_SIZE = 200;
/** Ports that a process takes at once for itself. */
const OWN_PORTS = 100;
const BLOCKS = (HIGHEST_PORT - LOWEST_PORT) / BLOCK_SIZE;

/** Ports that no other deployment on this machine is given until they are released. */
export interface ReservedPorts {
  readonly ports: readonly number[];
  release(): void;
}

/**
 * Reserves ports that are free for TCP and UDP on 127.0.0.1. The first port of a block is held
 * open as a lock, so that deployments started side by side never get the same block.
 *
 * @param count at most 199
 */
export async function reservePorts(count: number): Promise<ReservedPorts> {
  const first = Math.floor(Math.random() * BLOCKS);
  for (let offset = 0; offset < BLOCKS; offset += 1) {
    const base = LOWEST_PORT + ((first + offset) % BLOCKS) * BLOCK_SIZE;
    const lock = await tryListen(base);
    if (lock === undefined) continue;
    const ports = await findFree(base, count);
    if (ports.length === count) return { ports, release: () => lock.close() };
    lock.close();
  }
  throw new Error(`no block of ${count} free ports`);
}

/** Ports of this process's own block that have not been given out. */
let own: number[] = [];

/** Takes ports from a block that belongs to this process until it ends; see {@link reservePorts}. */
export async function findFreePorts(count: number): Promise<number[]> {
  if (own.length < count) own = [...(await reservePorts(Math.max(count, OWN_PORTS))).ports];
  return own.splice(0, count);
}

/** {@link findFreePorts} for a single port. */
export async function findFreePort(): Promise<number> {
  const [port] = await findFreePorts(1);
  return port!;
}

async function findFree(base: number, count: number): Promise<number[]> {
  const found: number[] = [];
  for (let port = base + 1; port < base + BLOCK_SIZE && found.length < count; port += 1) {
    if ((await isTcpFree(port)) && (await isUdpFree(port))) found.push(port);
  }
  return found;
}

function tryListen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer((socket) => socket.destroy());
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, '127.0.0.1', () => {
      server.unref();
      resolve(server);
    });
  });
}

async function isTcpFree(port: number): Promise<boolean> {
  const server = await tryListen(port);
  if (server === undefined) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
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

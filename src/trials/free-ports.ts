/** Free ports on loopback for processes that take their addresses from flags. */
import { createSocket } from 'node:dgram';
import { createServer, type Server } from 'node:net';

/** Below the range that the system uses for outgoing connections. */
const LOWEST_PORT = 20_000;
const HIGHEST_PORT = 32_000;
const BLOCK_SIZE = 200;
/** {@link findFreePorts} reserves at least this many ports at a time. */
const MIN_RESERVATION = 100;
const BLOCK_COUNT = (HIGHEST_PORT - LOWEST_PORT) / BLOCK_SIZE;

/** Ports that no other deployment on this machine gets until they are released. */
export interface ReservedPorts {
  readonly ports: readonly number[];
  release(): void;
}

/**
 * Reserves ports that are free for TCP and UDP on 127.0.0.1. Listens on the first port of a block
 * as a lock, so that deployments started concurrently never get the same block.
 *
 * @param count at most 199
 */
export async function reservePorts(count: number): Promise<ReservedPorts> {
  const first = Math.floor(Math.random() * BLOCK_COUNT);
  for (let offset = 0; offset < BLOCK_COUNT; offset += 1) {
    const base = LOWEST_PORT + ((first + offset) % BLOCK_COUNT) * BLOCK_SIZE;
    const lock = await tryListen(base);
    if (lock === undefined) continue;
    const ports = await findFreeInBlock(base, count);
    if (ports.length === count) return { ports, release: () => lock.close() };
    lock.close();
  }
  throw new Error(`no block has ${count} free ports`);
}

/** Reserved ports of this process that {@link findFreePorts} has not returned yet. */
let unusedPorts: number[] = [];

/** Returns ports that stay reserved for this process until it exits; see {@link reservePorts}. */
export async function findFreePorts(count: number): Promise<number[]> {
  if (unusedPorts.length < count)
    unusedPorts = [...(await reservePorts(Math.max(count, MIN_RESERVATION))).ports];
  return unusedPorts.splice(0, count);
}

/** {@link findFreePorts} for a single port. */
export async function findFreePort(): Promise<number> {
  const [port] = await findFreePorts(1);
  return port!;
}

async function findFreeInBlock(base: number, count: number): Promise<number[]> {
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

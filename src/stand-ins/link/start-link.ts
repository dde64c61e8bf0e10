/** The link stand-in: relays TCP connections and can cut them, lose their bytes or delay them. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { z } from 'zod';
import { splitAddress } from '../../core/host-and-port.js';

/** Schema of the faults of a link. */
export const linkFaultsSchema = z.strictObject({
  /** Closes all connections and refuses new ones. */
  cut: z.boolean(),
  /** Loses bytes from the connecting side; connections stay open. */
  silentForward: z.boolean(),
  /** Loses bytes from the listening side; connections stay open. */
  silentBackward: z.boolean(),
  /** Milliseconds by which bytes are delayed in each direction. */
  delayMs: z.number().min(0).max(60_000),
});

/** Faults in force on a link. */
export type LinkFaults = z.infer<typeof linkFaultsSchema>;

/** Values of a link without faults. */
export const NO_LINK_FAULTS: LinkFaults = {
  cut: false,
  silentForward: false,
  silentBackward: false,
  delayMs: 0,
};

/** A running link. */
export interface Link {
  readonly address: string;
  /** Bytes lost in silent directions so far. */
  readonly lostBytes: () => number;
  control(change: Partial<LinkFaults>): void;
  stop(): Promise<void>;
}

/** Starts a relay from `listen` to `target`, both `host:port`. */
export async function startLink(listen: string, target: string): Promise<Link> {
  let faults = NO_LINK_FAULTS;
  let lostBytes = 0;
  const sockets = new Set<Socket>();
  const destination = splitAddress(target);

  const track = (socket: Socket): void => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.once('close', () => sockets.delete(socket));
  };
  const relay = (from: Socket, to: Socket, isSilent: () => boolean): void => {
    const runDelayed = createOrderedDelay(() => faults.delayMs);
    from.on('data', (chunk: Buffer) => {
      if (isSilent()) {
        lostBytes += chunk.length;
        return;
      }
      runDelayed(() => {
        if (!to.destroyed) to.write(chunk);
      });
    });
    from.on('end', () => {
      if (isSilent()) return;
      runDelayed(() => to.end());
    });
    from.once('close', () => {
      runDelayed(() => to.destroy());
    });
  };
  const server: Server = createServer({ allowHalfOpen: true }, (inbound) => {
    if (faults.cut) {
      inbound.destroy();
      return;
    }
    const outbound = connect({ ...destination, allowHalfOpen: true });
    track(inbound);
    track(outbound);
    relay(inbound, outbound, () => faults.silentForward);
    relay(outbound, inbound, () => faults.silentBackward);
  });

  const address = await listenTcp(server, listen);
  const closeAll = (): void => {
    for (const socket of sockets) socket.destroy();
  };
  return {
    address,
    lostBytes: () => lostBytes,
    control: (change) => {
      faults = { ...faults, ...change };
      if (faults.cut) closeAll();
    },
    stop: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        closeAll();
      }),
  };
}

async function listenTcp(server: Server, listen: string): Promise<string> {
  const { host, port } = splitAddress(listen);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve();
    });
  });
  return `${host}:${(server.address() as AddressInfo).port}`;
}

/**
 * Runs actions after a delay that may change, always in the order in which they were added, so that
 * bytes of one connection are never reordered when the delay changes.
 */
function createOrderedDelay(delayMs: () => number): (action: () => void) => void {
  const waiting: { readonly dueAt: number; readonly action: () => void }[] = [];
  const runDue = (): void => {
    for (let [next] = waiting; next !== undefined; [next] = waiting) {
      const leftMs = next.dueAt - performance.now();
      if (leftMs > 0) {
        setTimeout(runDue, leftMs);
        return;
      }
      waiting.shift();
      next.action();
    }
  };
  return (action) => {
    const isFirst = waiting.length === 0;
    if (isFirst && delayMs() === 0) {
      action();
      return;
    }
    waiting.push({ dueAt: performance.now() + delayMs(), action });
    if (isFirst) setTimeout(runDue, delayMs());
  };
}

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

/** Schema of a change of a link's faults. */
export const linkControlSchema = linkFaultsSchema.partial().extend({
  /** Share of the open connections that go silent for good, while new ones work. */
  silenceOpen: z.number().min(0).max(1).optional(),
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
  /**
   * Makes open connections silent for good, in both directions and without a reset; new ones work.
   *
   * @param share part of the open connections, from 0 to 1
   */
  silenceOpenConnections(share?: number): void;
  stop(): Promise<void>;
}

/** Starts a relay from `listen` to `target`, both `host:port`. */
export async function startLink(listen: string, target: string): Promise<Link> {
  let faults = NO_LINK_FAULTS;
  let lostBytes = 0;
  const sockets = new Set<Socket>();
  const connections = new Set<{ isSilent: boolean }>();
  const destination = splitAddress(target);

  const track = (socket: Socket): void => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.once('close', () => sockets.delete(socket));
  };
  const relay = (
    from: Socket,
    to: Socket,
    isSilent: () => boolean,
    isSilencedForGood: () => boolean,
  ): void => {
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
      if (isSilencedForGood()) return;
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
    const connection = { isSilent: false };
    connections.add(connection);
    const isSilencedForGood = (): boolean => connection.isSilent;
    const isSilentForward = (): boolean => connection.isSilent || faults.silentForward;
    const isSilentBackward = (): boolean => connection.isSilent || faults.silentBackward;
    relay(inbound, outbound, isSilentForward, isSilencedForGood);
    relay(outbound, inbound, isSilentBackward, isSilencedForGood);
    let openEnds = 2;
    for (const socket of [inbound, outbound]) {
      socket.once('close', () => {
        openEnds -= 1;
        if (openEnds === 0) connections.delete(connection);
      });
    }
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
    silenceOpenConnections: (share = 1) => {
      const open = [...connections].filter(({ isSilent }) => !isSilent);
      for (const connection of open.slice(0, Math.ceil(share * open.length))) {
        connection.isSilent = true;
      }
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

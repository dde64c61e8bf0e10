/** Disturbed starts of nodes in soak runs: ports that are taken, and a standard output that refuses lines. */
import { once } from 'node:events';
import { closeSync, openSync } from 'node:fs';
import { createServer, type Server } from 'node:net';
import { splitAddress } from '../../src/core/host-and-port.js';
import type { ProcessMachine } from '../support/process-mesh.js';

/** How a start is disturbed. */
export type StartDisturbance = 'taken-port' | 'refused-log';

/**
 * Starts the process of a machine.
 *
 * @param variant chooses the port that is taken
 * @returns ends the disturbance
 */
export async function startDisturbed(
  machine: ProcessMachine,
  disturbance: StartDisturbance,
  variant: number,
): Promise<() => void> {
  if (disturbance === 'refused-log') {
    const full = openSync('/dev/full', 'w');
    machine.start(full);
    closeSync(full);
    return () => {};
  }
  const { entry, readiness, registration, peerAddress, metrics } = machine;
  const ports = [entry, readiness, registration, peerAddress, metrics];
  const holder = await hold(ports[variant % ports.length]!);
  machine.start();
  return () => holder?.close();
}

/** Undefined when an earlier disturbance still holds the port. */
async function hold(address: string): Promise<Server | undefined> {
  const holder = createServer((socket) => socket.destroy());
  holder.listen(splitAddress(address));
  return await once(holder, 'listening').then(
    () => holder,
    () => undefined,
  );
}

/** Starts nodes as processes while another program holds one of their ports for a moment. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { splitAddress } from '../src/core/host-and-port.js';
import { sendRequest, waitUntil } from './stand-ins/mesh.js';
import { ProcessMesh, type ProcessMachine } from './support/process-mesh.js';

const HELD_MS = 3_000;

let mesh: ProcessMesh;
let machine: ProcessMachine;
let peer: ProcessMachine;

beforeEach(async () => {
  mesh = new ProcessMesh();
  await mesh.start();
  mesh.putRules(1, [{ path: '/read/', service: 'ledger' }]);
  machine = await mesh.add({ service: 'ledger', zone: 'z', slots: 8, workMs: 1 });
  peer = await mesh.add({ service: 'archive', zone: 'z', slots: 8, workMs: 1 });
  await mesh.waitUntilServing(['/read/warm']);
  await machine.process.stop('SIGKILL');
});

afterEach(() => mesh.stop());

async function hold(address: string): Promise<Server> {
  const server = createServer((socket) => socket.destroy());
  server.listen(splitAddress(address));
  await once(server, 'listening');
  return server;
}

async function isServed(through: ProcessMachine): Promise<boolean> {
  const answer = await sendRequest(through.entry, { path: '/read/a', attemptId: 'a' }).catch(
    () => undefined,
  );
  return answer?.status === 200;
}

for (const [name, addressOf] of [
  ['entry', ({ entry }: ProcessMachine) => entry],
  ['readiness', ({ readiness }: ProcessMachine) => readiness],
  ['registration', ({ registration }: ProcessMachine) => registration],
  ['link', ({ peerAddress }: ProcessMachine) => peerAddress],
  ['metrics', ({ metrics }: ProcessMachine) => metrics],
] as const) {
  test(`the ${name} port taken at the start does not end the process`, async () => {
    const holder = await hold(addressOf(machine));
    machine.start();
    await sleep(HELD_MS);
    assert.ok(machine.isRunning, `the process ended: ${machine.log.slice(-1_000)}`);
    holder.close();
    await waitUntil(() => machine.isReady());
    await waitUntil(() => isServed(machine));
    await waitUntil(() => isServed(peer));
  });
}

test('a stop signal ends a process that waits for a port', async () => {
  const holder = await hold(machine.entry);
  machine.start();
  await sleep(HELD_MS);
  assert.ok(machine.isRunning, `the process ended: ${machine.log.slice(-1_000)}`);
  const { signal } = await machine.process.stop('SIGTERM', 6_000);
  holder.close();
  assert.equal(signal, null);
});

/**
 * The store is unavailable for a moment and is restored from a copy that is some seconds older: what
 * nodes wrote since is lost, and revisions and lease ids are issued again. Guarantees that rest on the
 * store's acknowledgements must still hold.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Mesh, waitUntil, type Machine } from './stand-ins/mesh.js';

/** Time within which running nodes write their records again, in milliseconds. */
const REWRITTEN_WITHIN_MS = 2_000;
const OUTAGE_MS = 600;
const APPLY_WITHIN_MS = 2_000;
const SERVED = 200;
const OPTIONS = { zone: 'z', workMs: 5, slots: 8 };
const ROUTE = { path: '/read/', service: 'reader' };

let mesh: Mesh;
let caller: Machine;
let first: Machine;

beforeEach(async () => {
  mesh = new Mesh();
  mesh.store.era = 7;
  await mesh.start();
  mesh.putRules(1, [ROUTE]);
  caller = await mesh.add({ ...OPTIONS, service: 'front' });
  first = await addReader('first');
  await addReader('second');
  await mesh.sendHeartbeats();
  const seen = new Set<unknown>();
  await mesh.sendUntil(caller, { path: '/read/warm' }, ({ status, headers }) => {
    if (status === SERVED) seen.add(headers['x-server-stamp']);
    return seen.size === 2;
  });
  await waitUntil(() =>
    mesh.machines.every((machine) => recordOf(machine)?.['target'] === 'ready'),
  );
});
afterEach(() => mesh.stop());

async function addReader(id: string): Promise<Machine> {
  const machine = await mesh.add({ ...OPTIONS, service: 'reader' });
  machine.target.restart(id);
  return machine;
}

function recordOf({ id }: Machine): Readonly<Record<string, unknown>> | undefined {
  const text = mesh.store.get(`sillshore/nodes/${id}`);
  return text === undefined ? undefined : (JSON.parse(text) as Record<string, unknown>);
}

async function restoreStore(copy: ReturnType<Mesh['store']['copy']>): Promise<void> {
  mesh.store.goOffline();
  await sleep(OUTAGE_MS);
  mesh.store.restoreFrom(copy);
}

async function waitAtMost(limitMs: number, holds: () => boolean): Promise<void> {
  const startedAt = performance.now();
  await waitUntil(holds);
  const took = performance.now() - startedAt;
  assert.ok(took <= limitMs, `took ${Math.round(took)} ms`);
}

test('a record that was written after the copy is written again within two seconds', async () => {
  const copy = mesh.store.copy();
  const late = await addReader('late');
  await late.target.sendHeartbeat(late.registration);
  await waitUntil(() => recordOf(late)?.['target'] === 'ready');
  await restoreStore(copy);
  await waitAtMost(REWRITTEN_WITHIN_MS, () => recordOf(late)?.['target'] === 'ready');
});

test('each record has its own lease, though lease ids are issued again', async () => {
  const copy = mesh.store.copy();
  for (const id of ['third', 'fourth']) {
    const machine = await addReader(id);
    await machine.target.sendHeartbeat(machine.registration);
    await waitUntil(() => recordOf(machine)?.['target'] === 'ready');
  }
  await restoreStore(copy);
  await waitAtMost(REWRITTEN_WITHIN_MS, () =>
    mesh.machines.every((machine) => recordOf(machine)?.['storeEra'] === mesh.store.era),
  );
  const leases = mesh.machines.map(({ id }) => mesh.store.leaseOf(`sillshore/nodes/${id}`));
  assert.equal(new Set(leases).size, mesh.machines.length);
  assert.ok(!leases.includes(0));
});

test('a leave that was acknowledged after the copy is written again, and stays in force', async () => {
  const copy = mesh.store.copy();
  assert.equal(await first.target.sendHeartbeat(first.registration, 'draining'), SERVED);
  await restoreStore(copy);
  assert.equal(recordOf(first)?.['target'], 'ready', 'the copy is older');
  await waitAtMost(REWRITTEN_WITHIN_MS, () => recordOf(first)?.['target'] === 'leaving');
  const before = first.target.receivedCount;
  for (let index = 0; index < 30; index += 1) {
    const answer = await mesh.send(caller, { path: `/read/${index}` });
    assert.equal(answer.status, SERVED);
  }
  assert.equal(first.target.receivedCount, before);
});

test("a leave stays in force when the target's sidecar restarts from the older copy", async () => {
  const copy = mesh.store.copy();
  assert.equal(await first.target.sendHeartbeat(first.registration, 'draining'), SERVED);
  // The caller's node has received the leave.
  await mesh.sendUntil(caller, { path: '/read/heard' }, ({ status }) => status === SERVED);
  await first.kernel.stop();
  await restoreStore(copy);
  await first.restart();
  const before = first.target.receivedCount;
  const end = performance.now() + 3_000;
  for (let index = 0; performance.now() < end; index += 1) {
    await mesh.send(caller, { path: `/read/${index}` });
    await mesh.send(first, { path: `/read/own-${index}` });
    await sleep(20);
  }
  assert.equal(first.target.receivedCount, before);
});

test('rules stay in force, and newer ones are applied in time', async () => {
  const copy = mesh.store.copy();
  mesh.putRules(2, [ROUTE, { path: '/second/', service: 'reader' }]);
  await mesh.sendUntil(caller, { path: '/second/1' }, ({ status }) => status === SERVED);
  mesh.store.goOffline();
  await sleep(OUTAGE_MS);
  assert.equal((await mesh.send(caller, { path: '/second/2' })).status, SERVED);
  mesh.store.restoreFrom(copy);
  assert.equal((await mesh.send(caller, { path: '/second/3' })).status, SERVED);
  mesh.putRules(3, [ROUTE, { path: '/third/', service: 'reader' }]);
  const startedAt = performance.now();
  await mesh.sendUntil(caller, { path: '/third/1' }, ({ status }) => status === SERVED);
  assert.ok(performance.now() - startedAt <= APPLY_WITHIN_MS);
});

test('a change is received that was made after the revisions had risen above the earlier ones', async () => {
  const copy = mesh.store.copy();
  mesh.store.goOffline();
  await sleep(OUTAGE_MS);
  mesh.store.restoreFrom(copy);
  for (let index = 0; index < 50; index += 1) mesh.store.put(`other/${index}`, 'x');
  mesh.putRules(2, [ROUTE, { path: '/second/', service: 'reader' }]);
  const startedAt = performance.now();
  await mesh.sendUntil(caller, { path: '/second/1' }, ({ status }) => status === SERVED);
  assert.ok(performance.now() - startedAt <= APPLY_WITHIN_MS);
});

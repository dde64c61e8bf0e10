/**
 * The store is away for a moment and comes back from a copy some seconds older: what nodes wrote since
 * is gone, revisions and leases are given out again. What was promised on the strength of its
 * acknowledgements must hold all the same.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Mesh, waitUntil, type Machine } from './stand-ins/mesh.js';

/** Time within which nodes that live have written their records again, in milliseconds. */
const BACK_WITHIN_MS = 2_000;
const AWAY_MS = 600;
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
  await mesh.beatAll();
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

async function returnFrom(copy: ReturnType<Mesh['store']['copy']>): Promise<void> {
  mesh.store.goAway();
  await sleep(AWAY_MS);
  mesh.store.comeBackFrom(copy);
}

async function within(limitMs: number, holds: () => boolean): Promise<void> {
  const startedAt = performance.now();
  await waitUntil(holds);
  const took = performance.now() - startedAt;
  assert.ok(took <= limitMs, `took ${Math.round(took)} ms`);
}

test('a record that was written after the copy is back within two seconds', async () => {
  const copy = mesh.store.copy();
  const late = await addReader('late');
  await late.target.beat(late.registration);
  await waitUntil(() => recordOf(late)?.['target'] === 'ready');
  await returnFrom(copy);
  await within(BACK_WITHIN_MS, () => recordOf(late)?.['target'] === 'ready');
});

test('each record is under a lease of its own, though leases are given out again', async () => {
  const copy = mesh.store.copy();
  for (const id of ['third', 'fourth']) {
    const machine = await addReader(id);
    await machine.target.beat(machine.registration);
    await waitUntil(() => recordOf(machine)?.['target'] === 'ready');
  }
  await returnFrom(copy);
  await within(BACK_WITHIN_MS, () =>
    mesh.machines.every((machine) => recordOf(machine)?.['storeEra'] === mesh.store.era),
  );
  const leases = mesh.machines.map(({ id }) => mesh.store.leaseOf(`sillshore/nodes/${id}`));
  assert.equal(new Set(leases).size, mesh.machines.length);
  assert.ok(!leases.includes(0));
});

test('a leave that was acknowledged after the copy is in the store again, and binds', async () => {
  const copy = mesh.store.copy();
  assert.equal(await first.target.beat(first.registration, 'draining'), SERVED);
  await returnFrom(copy);
  assert.equal(recordOf(first)?.['target'], 'ready', 'the copy is older');
  await within(BACK_WITHIN_MS, () => recordOf(first)?.['target'] === 'leaving');
  const before = first.target.receivedCount;
  for (let index = 0; index < 30; index += 1) {
    const answer = await mesh.send(caller, { path: `/read/${index}` });
    assert.equal(answer.status, SERVED);
  }
  assert.equal(first.target.receivedCount, before);
});

test('the leave binds when the node beside the target starts anew from the older copy', async () => {
  const copy = mesh.store.copy();
  assert.equal(await first.target.beat(first.registration, 'draining'), SERVED);
  // The caller's node has heard of it.
  await mesh.sendUntil(caller, { path: '/read/heard' }, ({ status }) => status === SERVED);
  await first.kernel.stop();
  await returnFrom(copy);
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

test('rules stay in force, and newer ones come into force in time', async () => {
  const copy = mesh.store.copy();
  mesh.putRules(2, [ROUTE, { path: '/second/', service: 'reader' }]);
  await mesh.sendUntil(caller, { path: '/second/1' }, ({ status }) => status === SERVED);
  mesh.store.goAway();
  await sleep(AWAY_MS);
  assert.equal((await mesh.send(caller, { path: '/second/2' })).status, SERVED);
  mesh.store.comeBackFrom(copy);
  assert.equal((await mesh.send(caller, { path: '/second/3' })).status, SERVED);
  mesh.putRules(3, [ROUTE, { path: '/third/', service: 'reader' }]);
  const startedAt = performance.now();
  await mesh.sendUntil(caller, { path: '/third/1' }, ({ status }) => status === SERVED);
  assert.ok(performance.now() - startedAt <= APPLY_WITHIN_MS);
});

test('a change is heard that was made while the revisions rose above those of before', async () => {
  const copy = mesh.store.copy();
  mesh.store.goAway();
  await sleep(AWAY_MS);
  mesh.store.comeBackFrom(copy);
  for (let index = 0; index < 50; index += 1) mesh.store.put(`other/${index}`, 'x');
  mesh.putRules(2, [ROUTE, { path: '/second/', service: 'reader' }]);
  const startedAt = performance.now();
  await mesh.sendUntil(caller, { path: '/second/1' }, ({ status }) => status === SERVED);
  assert.ok(performance.now() - startedAt <= APPLY_WITHIN_MS);
});

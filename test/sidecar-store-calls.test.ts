/**
 * What a start of nodes asks of the store. Each call is paid for, and every node of a fleet makes the
 * same ones.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { keyOfNode } from '../src/sidecar/directory/node-record.js';
import { Mesh, waitUntil } from './stand-ins/mesh.js';

test('a start lists rules and records once, takes a lease and writes its record', async () => {
  const mesh = new Mesh();
  await mesh.start();
  try {
    mesh.putRules(1, [{ path: '/a/', service: 'a' }]);
    const machine = await mesh.add({ service: 'a', zone: 'z', slots: 5, workMs: 1 });
    await mesh.beatAll();
    await waitUntil(() => mesh.store.get(keyOfNode(machine.id))?.includes('"ready"') === true);
    const calls = [...mesh.store.calls].filter(([name]) => !name.includes('watch'));
    assert.deepEqual(calls.map(([, count]) => count).sort(), [1, 1, 2]);
    assert.ok(!mesh.store.calls.has('GET /v1/kv-key'), 'the own record stands in the listing');
  } finally {
    await mesh.stop();
  }
});

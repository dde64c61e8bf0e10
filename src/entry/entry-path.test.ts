/** Path of a call over loopback HTTP, with a back end on raw sockets. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { DataPathFleet, type DataPathNode } from '../../test/support/data-path-node.js';
import { send } from '../../test/support/raw-http.js';
import { startScriptedBackend, type ScriptedBackend } from '../../test/support/scripted-backend.js';

const fleet = new DataPathFleet();
let backend: ScriptedBackend;
let near: DataPathNode;
let far: DataPathNode;

before(async () => {
  backend = await startScriptedBackend();
  const kind = { match: { pathPrefix: '/' }, criticality: 'normal', attempts: 3 };
  fleet.apply({
    apiVersion: 'sillshore/v1',
    tenant: 'test',
    services: [
      {
        name: 'guide',
        hosts: ['guide'],
        slots: 8,
        connections: 8,
        targets: [{ id: 'guide-1', zone: 'zone-a', address: `127.0.0.1:${backend.port}` }],
        kinds: [{ ...kind, name: 'read', deadlineMs: 2_000, idempotent: true }],
      },
    ],
  });
  near = await fleet.start('node-a', ['guide-1']);
  far = await fleet.start('node-b');
});

after(async () => {
  await fleet.stop();
  await backend.close();
});

test('a request passes through the node that fronts the target, and through another node', async () => {
  for (const { entryPort } of [near, far]) {
    const answer = await send({ port: entryPort, path: `/steps?from=${entryPort}` });
    assert.equal(answer.status, 200);
    assert.equal(answer.body, `/steps?from=${entryPort}`);
  }
});

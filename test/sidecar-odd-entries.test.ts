/** Another writer leaves odd entries where nodes read: their processes live on and follow what comes after. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { sendRequest, waitUntil } from './stand-ins/mesh.js';
import { ProcessMesh, type ProcessMachine } from './support/process-mesh.js';

const ROUTES = [
  { path: '/read/', service: 'ledger' },
  { path: '/other/', service: 'archive' },
];
const RECORD = {
  node: 'odd',
  address: '127.0.0.1:9',
  zone: 'z',
  region: 'r',
  service: 'ledger',
  targetId: 'i-9',
  target: 'ready',
};
const DEEP = 100_000;

const ODD_VALUES: Readonly<Record<string, string>> = {
  'nested very deeply': '['.repeat(DEEP) + ']'.repeat(DEEP),
  'a record with a deeply nested member': JSON.stringify(RECORD).replace(
    '}',
    `,"x":${'{"a":'.repeat(DEEP)}1${'}'.repeat(DEEP)}}`,
  ),
  'a number beyond the range': JSON.stringify(RECORD).replace('}', ',"targetSlots":1e400}'),
  'a negative number': JSON.stringify({ ...RECORD, targetSlots: -5, targetStartedAt: -5 }),
  'a port out of range': JSON.stringify({ ...RECORD, address: '127.0.0.1:99999' }),
  'port 0': JSON.stringify({ ...RECORD, address: '127.0.0.1:0' }),
  'an octet out of range': JSON.stringify({ ...RECORD, address: '127.0.0.999:80' }),
  'an empty value': '',
  null: 'null',
  'a list': '[]',
  'other types': JSON.stringify({ ...RECORD, address: {}, zone: 5, target: [] }),
  'a long text': JSON.stringify({ ...RECORD, zone: 'z'.repeat(500_000) }),
  'a prototype': '{"__proto__":{"node":"odd"},"constructor":1}',
};
const ODD_KEYS = [
  'sillshore/nodes/odd',
  'sillshore/nodes/node-1',
  'sillshore/nodes/__proto__',
  'sillshore/nodes/',
  'sillshore/quota/odd',
  'servers/odd',
  'op/odd',
];

let mesh: ProcessMesh;
let machines: ProcessMachine[];

beforeEach(async () => {
  mesh = new ProcessMesh();
  await mesh.start();
  mesh.putRules(1, ROUTES);
  machines = [
    await mesh.add({ service: 'ledger', zone: 'z', slots: 8, workMs: 1 }),
    await mesh.add({ service: 'archive', zone: 'z', slots: 8, workMs: 1 }),
  ];
  await mesh.waitUntilServing(['/read/warm', '/other/warm']);
});

afterEach(() => mesh.stop());

async function isServed(machine: ProcessMachine, path: string): Promise<boolean> {
  const request = { path, attemptId: 'a' };
  return (await sendRequest(machine.entry, request).catch(() => undefined))?.status === 200;
}

test('odd entries among those that nodes read end no process, and the list is followed', async () => {
  let version = 1;
  for (const [what, value] of Object.entries(ODD_VALUES)) {
    for (const key of ODD_KEYS) mesh.store.put(key, value);
    version += 1;
    const path = `/new-${version}/`;
    mesh.putRules(version, [...ROUTES, { path, service: 'ledger' }]);
    for (const machine of machines) {
      for (const each of [path, '/other/after']) await waitUntil(() => isServed(machine, each));
      assert.ok(machine.isRunning, `${what}: ${machine.log.slice(-1_000)}`);
    }
  }
  const joined = await mesh.add({ service: 'fresh', zone: 'z', slots: 8, workMs: 1 });
  mesh.putRules(version + 1, [...ROUTES, { path: '/fresh/', service: 'fresh' }]);
  for (const machine of [...machines, joined]) {
    for (const path of ['/fresh/a', '/read/a']) await waitUntil(() => isServed(machine, path));
  }
});

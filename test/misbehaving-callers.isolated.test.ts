/**
 * Crowds of clients that don't keep to the limits, against one node of a deployment with a small
 * heap: at its entry, its admin port and its port for other nodes.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test, type TestContext } from 'node:test';
import { Deployment, type RunningNode } from '../src/trials/deployment.js';
import { waitUntil } from './stand-ins/mesh.js';
import { chunkedBody, Crowd, sentAhead } from './support/crowd.js';
import { openDescriptors, peakMemoryBytes } from './support/process-footprint.js';
import { send } from './support/raw-http.js';

const BYTES_PER_MB = 1024 * 1024;
const MEMORY_MB = 220;
const DESCRIPTORS = 300;
const RUNTIME_FLAGS = ['--max-old-space-size=60'];
const MAX_BUFFERED_BYTES = 33_554_432;

const GUIDE = 'script-guide.recife.example';
const HEAD_END = '\r\n';
const UNFINISHED_POST = `POST /promises HTTP/1.1\r\nHost: promise-ledger.recife.example\r\n`;
const NO_FIELDS = `GET / HTTP/1.1\r\n${HEAD_END}`;
const UNKNOWN_EXPECTATION = `GET / HTTP/1.1\r\nHost: a\r\nExpect: a\r\n${HEAD_END}`;
const ROUTED = `GET /probe HTTP/1.1\r\nHost: ${GUIDE}\r\n${HEAD_END}`;
const METRICS = `GET /metrics HTTP/1.1\r\nHost: a\r\n${HEAD_END}`;
const READINESS = `GET /readyz HTTP/1.1\r\nHost: a\r\n${HEAD_END}`;

let deployment: Deployment;
let node: RunningNode;

beforeEach(async () => {
  deployment = await Deployment.start({
    example: 'recife',
    nodeRuntimeFlags: RUNTIME_FLAGS,
    changeSettings: (settings) => ({
      ...settings,
      limits: {
        ...settings.limits,
        maxBufferedBytes: MAX_BUFFERED_BYTES,
        fileDescriptors: DESCRIPTORS,
      },
    }),
  });
  node = deployment.nodes[0]!;
});

afterEach(() => deployment.stop());

async function isServing(): Promise<boolean> {
  const { port } = new URL(node.entry);
  const request = { port: Number(port), path: '/probe', host: GUIDE };
  const answer = await send(request).catch(() => undefined);
  return answer?.status === 200 && (await node.admin.isReady().catch(() => false));
}

async function withstand(
  context: TestContext,
  address: string,
  clients: number,
  bytes: Buffer,
): Promise<void> {
  const crowd = await Crowd.send({ address, clients, bytes });
  try {
    assert.ok(node.process.running, `the process ended: ${node.process.stderr.slice(-1_000)}`);
    const descriptors = openDescriptors(node.process.id);
    context.diagnostic(`${descriptors} descriptors`);
    assert.ok(descriptors <= DESCRIPTORS, `${descriptors} descriptors`);
    await waitUntil(isServing);
  } finally {
    crowd.leave();
  }
  await waitUntil(isServing);
  const peak = peakMemoryBytes(node.process.id) / BYTES_PER_MB;
  context.diagnostic(`peak ${peak.toFixed(0)} MB`);
  assert.ok(peak <= MEMORY_MB, `peak ${peak.toFixed(0)} MB`);
}

function entryAddress(): string {
  return new URL(node.entry).host;
}

test('unfinished bodies in small chunks do not exhaust the heap of a fleet node', async (context) => {
  await withstand(context, entryAddress(), 40, chunkedBody(UNFINISHED_POST, 1, 200_000));
});

test('requests without fields sent ahead do not exhaust the heap of a fleet node', async (context) => {
  await withstand(context, entryAddress(), 60, sentAhead(NO_FIELDS, 20_000));
});

test('requests with an unknown expectation sent ahead do not exhaust the heap of a fleet node', async (context) => {
  await withstand(context, entryAddress(), 140, sentAhead(UNKNOWN_EXPECTATION, 30_000));
});

test('routed requests sent ahead do not exhaust the heap of a fleet node', async (context) => {
  await withstand(context, entryAddress(), 60, sentAhead(ROUTED, 10_000));
});

test('begun requests do not take all descriptors of a fleet node', async (context) => {
  await withstand(context, entryAddress(), 500, Buffer.from('GET /probe'));
});

test('metrics requests sent ahead do not exhaust the heap of a fleet node', async (context) => {
  await withstand(context, node.plan.settings.listen.admin, 60, sentAhead(METRICS, 10_000));
});

test('readiness requests sent ahead do not exhaust the heap of a fleet node', async (context) => {
  await withstand(context, node.plan.settings.listen.admin, 60, sentAhead(READINESS, 10_000));
});

test('admin requests without fields sent ahead do not exhaust the heap of a fleet node', async (context) => {
  await withstand(context, node.plan.settings.listen.admin, 140, sentAhead(NO_FIELDS, 30_000));
});

test('admin requests with an unknown expectation sent ahead do not exhaust the heap of a fleet node', async (context) => {
  const { admin } = node.plan.settings.listen;
  await withstand(context, admin, 140, sentAhead(UNKNOWN_EXPECTATION, 30_000));
});

test('idle admin connections do not take all descriptors of a fleet node', async (context) => {
  await withstand(context, node.plan.settings.listen.admin, 500, Buffer.from('GET /readyz'));
});

test('unproven peer connections do not take all descriptors of a fleet node', async (context) => {
  await withstand(context, node.plan.settings.listen.peer, 500, Buffer.alloc(1));
});

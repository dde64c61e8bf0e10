/**
 * Crowds of clients that don't keep to the limits, against a node in its own process with a small
 * heap. The node must live, stay within its memory and its descriptors, and answer an ordinary
 * request while the crowd is still connected and after it has left.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test, type TestContext } from 'node:test';
import { HOST } from '../platform/stand-ins/rules-document.js';
import { encodeMessage, MAX_FRAME_BYTES } from '../src/sidecar/link/link-codec.js';
import type { LinkMessage } from '../src/sidecar/link/link-messages.js';
import { sendRequest, waitUntil } from './stand-ins/mesh.js';
import { chunkedBody, Crowd, declaredBody, sentAhead } from './support/crowd.js';
import { openDescriptors, peakMemoryBytes } from './support/process-footprint.js';
import { ProcessMesh, type ProcessMachine } from './support/process-mesh.js';

const BYTES_PER_MB = 1024 * 1024;
/** Memory and heap in about the proportion of the deploy file, and a small number of descriptors. */
const LIMITS = { memoryMb: 180, fileDescriptors: 300, answerReadTimeout: '2s' };
/** Descriptors of a node that lets in more connections than its heap can hold long heads. */
const MANY_DESCRIPTORS = 2_000;
const RUNTIME_FLAGS = ['--max-old-space-size=60'];
/** Size of bodies that many clients send at once; the rules allow 1,000,000 bytes. */
const LARGE_BODY_BYTES = 990_000;
const LARGE_BODY = 'x'.repeat(LARGE_BODY_BYTES);
const LARGE_ANSWER = 'x'.repeat(1_000_000);

const HEAD_END = '\r\n';
const ROUTED_POST = `POST /read/crowd HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: crowd\r\n`;
const NO_FIELDS = `GET / HTTP/1.1\r\n${HEAD_END}`;
const UNKNOWN_EXPECTATION = `GET / HTTP/1.1\r\nExpect: a\r\n${HEAD_END}`;
const ROUTED = `GET /read/crowd HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: crowd\r\n${HEAD_END}`;
const ROUTED_WITHOUT_ID = `GET /read/crowd HTTP/1.1\r\nHost: ${HOST}\r\n${HEAD_END}`;
const MANY_FIELDS = `GET / HTTP/1.1\r\n${'a: b\r\n'.repeat(900)}${HEAD_END}`;
/** Just short of the 16 KiB that the rules allow, without its end. */
const LONG_HEAD = `GET / HTTP/1.1\r\n${'abc: def\r\n'.repeat(1_600)}`;
const DOWNLOAD = `GET /read/large HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: crowd\r\n${HEAD_END}`;
const READINESS = `GET /v1/readiness HTTP/1.1\r\nHost: a\r\n${HEAD_END}`;
const READINESS_WITHOUT_FIELDS = `GET /v1/readiness HTTP/1.1\r\n${HEAD_END}`;
const METRICS = `GET /metrics HTTP/1.1\r\nHost: a\r\n${HEAD_END}`;
const HEARTBEAT_HEAD = 'POST /v1/instances/i-9/heartbeat HTTP/1.1\r\nHost: a\r\n';
const HEARTBEAT = `${HEARTBEAT_HEAD}Content-Length: 2\r\n\r\n{}`;

/** Message of a node that introduces itself, and one with a request that its target holds until it times out. */
const INTRODUCTION = encodeMessage({ type: 'rules-wanted' });
const HELD_CALL: Extract<LinkMessage, { type: 'call' }> = {
  type: 'call',
  id: 1,
  sentAt: Number.MAX_SAFE_INTEGER,
  call: {
    attemptId: 'crowd',
    requestId: 'crowd',
    service: 'ledger',
    kind: '/read/',
    rank: 0,
    idempotent: true,
    depth: 0,
    repeated: false,
    committed: false,
    timeLeftMs: 3_000,
    dueInMs: 3_000,
    callerService: 'crowd',
    method: 'POST',
    path: '/read/held',
    fields: [],
    body: Buffer.from(LARGE_BODY),
  },
};

let mesh: ProcessMesh;
let machine: ProcessMachine;

beforeEach(() => startMachine(LIMITS));

afterEach(() => mesh.stop());

async function startMachine(limits: typeof LIMITS): Promise<void> {
  mesh = new ProcessMesh({ limits, runtimeFlags: RUNTIME_FLAGS });
  await mesh.start();
  mesh.putRules(1, [{ path: '/read/', service: 'ledger' }]);
  machine = await mesh.add({ service: 'ledger', zone: 'z', slots: 8, workMs: 1 });
  machine.target.keepReceived = false;
  machine.target.behaviour = ({ attemptId, path }, response) => {
    if (path === '/read/held') return true;
    if (path !== '/read/large') return false;
    response.writeHead(200, { 'X-Attempt-Id': attemptId, 'X-Server-Stamp': 's' }).end(LARGE_ANSWER);
    return true;
  };
  await mesh.waitUntilServing(['/read/warm']);
}

/** Whether an ordinary request with a large body is served, and the node says that it is ready. */
async function isServing(attemptId: string): Promise<boolean> {
  const request = { method: 'POST', path: '/read/ordinary', attemptId, body: LARGE_BODY };
  const answer = await sendRequest(machine.entry, request).catch(() => undefined);
  return answer?.status === 200 && (await machine.isReady());
}

/** Plays a crowd and checks the node beside it and after it. */
async function withstand(
  context: TestContext,
  address: string,
  clients: number,
  bytes: Buffer,
  sendsOnConnect = false,
  maxDescriptors = LIMITS.fileDescriptors,
): Promise<void> {
  const crowd = await Crowd.send({ address, clients, bytes, sendsOnConnect });
  try {
    assert.ok(machine.isRunning, `the process ended: ${machine.log.slice(-1_000)}`);
    const descriptors = openDescriptors(machine.process.id);
    context.diagnostic(`${descriptors} descriptors`);
    assert.ok(descriptors <= maxDescriptors, `${descriptors} descriptors`);
    await waitUntil(() => isServing('beside'));
  } finally {
    crowd.leave();
  }
  await waitUntil(() => isServing('after'));
  assert.ok(machine.isRunning, `the process ended: ${machine.log.slice(-1_000)}`);
  const peak = peakMemoryBytes(machine.process.id) / BYTES_PER_MB;
  context.diagnostic(`peak ${peak.toFixed(0)} MB`);
  assert.ok(peak <= LIMITS.memoryMb, `peak ${peak.toFixed(0)} MB`);
}

test('unfinished bodies in chunks of one byte do not exhaust the heap', async (context) => {
  await withstand(context, machine.entry, 20, chunkedBody(ROUTED_POST, 1, 200_000));
});

test('small chunks that arrive while connections are accepted do not exhaust the heap', async (context) => {
  await withstand(context, machine.entry, 100, chunkedBody(ROUTED_POST, 1, 100_000), true);
});

test('requests sent ahead by connections that open together do not exhaust the heap', async (context) => {
  await withstand(context, machine.entry, 200, sentAhead(NO_FIELDS, 10_000), true);
});

test('unfinished bodies in chunks of 64 KiB do not take all buffers', async (context) => {
  await withstand(context, machine.entry, 80, chunkedBody(ROUTED_POST, 65_536, 15));
});

test('unfinished bodies of a declared length do not take all buffers', async (context) => {
  await withstand(context, machine.entry, 80, declaredBody(ROUTED_POST, LARGE_BODY_BYTES));
});

test('requests without fields that are sent ahead do not exhaust the heap', async (context) => {
  await withstand(context, machine.entry, 60, sentAhead(NO_FIELDS, 20_000));
});

test('requests with an unknown expectation that are sent ahead do not exhaust the heap', async (context) => {
  await withstand(context, machine.entry, 140, sentAhead(UNKNOWN_EXPECTATION, 30_000));
});

test('requests with many fields that are sent ahead do not exhaust the heap', async (context) => {
  await withstand(context, machine.entry, 60, sentAhead(MANY_FIELDS, 400));
});

test('routed requests that are sent ahead do not exhaust the heap', async (context) => {
  await withstand(context, machine.entry, 60, sentAhead(ROUTED, 10_000));
});

test('routed requests without an id that are sent ahead do not exhaust the heap', async (context) => {
  await withstand(context, machine.entry, 60, sentAhead(ROUTED_WITHOUT_ID, 10_000));
});

test('large answers that are not read do not exhaust the memory', async (context) => {
  await withstand(context, machine.entry, 60, sentAhead(DOWNLOAD, 20));
});

test('begun requests of many clients do not take all descriptors', async (context) => {
  await withstand(context, machine.entry, 500, Buffer.from('GET /read/'));
});

test('begun heads with many fields do not exhaust the heap', async (context) => {
  await mesh.stop();
  await startMachine({ ...LIMITS, fileDescriptors: MANY_DESCRIPTORS });
  const head = Buffer.from(LONG_HEAD);
  await withstand(context, machine.entry, 900, head, false, MANY_DESCRIPTORS);
});

test('readiness requests that are sent ahead do not exhaust the heap', async (context) => {
  await withstand(context, machine.readiness, 240, sentAhead(READINESS, 20_000));
});

test('readiness requests without fields that are sent ahead do not exhaust the heap', async (context) => {
  await withstand(context, machine.readiness, 150, sentAhead(READINESS_WITHOUT_FIELDS, 20_000));
});

test('readiness requests with an unknown expectation that are sent ahead do not exhaust the heap', async (context) => {
  await withstand(context, machine.readiness, 140, sentAhead(UNKNOWN_EXPECTATION, 30_000));
});

test('idle connections to the readiness port do not take all descriptors', async (context) => {
  await withstand(context, machine.readiness, 500, Buffer.from('GET /v1'));
});

test('metrics requests that are sent ahead do not exhaust the heap', async (context) => {
  await withstand(context, machine.metrics, 60, sentAhead(METRICS, 20_000));
});

test('reports that are sent ahead do not exhaust the heap', async (context) => {
  await withstand(context, machine.registration, 60, sentAhead(HEARTBEAT, 20_000));
});

test('unfinished reports do not take all descriptors', async (context) => {
  await withstand(context, machine.registration, 500, chunkedBody(HEARTBEAT_HEAD, 1, 100));
});

test('unfinished frames between nodes do not exhaust the memory', async (context) => {
  const frame = Buffer.alloc(2 * BYTES_PER_MB, 1);
  frame.writeInt32LE(MAX_FRAME_BYTES, 0);
  await withstand(context, machine.peerAddress, 100, frame);
});

test('requests of nodes with large bodies that wait for the target do not exhaust the memory', async (context) => {
  const calls = Array.from({ length: 10 }, (_, id) => {
    const { call } = HELD_CALL;
    return encodeMessage({ ...HELD_CALL, id, call: { ...call, attemptId: `crowd-${id}` } });
  });
  await withstand(context, machine.peerAddress, 60, Buffer.concat([INTRODUCTION, ...calls]));
});

test('replies that a peer does not read do not exhaust the memory', async (context) => {
  const wanted = Buffer.concat(Array<Buffer>(20_000).fill(encodeMessage({ type: 'rules-wanted' })));
  await withstand(context, machine.peerAddress, 60, wanted);
});

test('connections of unknown nodes do not take all descriptors', async (context) => {
  await withstand(context, machine.peerAddress, 500, Buffer.alloc(1));
});

/** The accepting end of a link over a real connection, with a scripted target. */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { ByteBudget } from '../../core/byte-budget.js';
import { UnfinishedBodies } from '../../core/holding/unfinished-bodies.js';
import { FrameReader } from '../../peer/frame-reader.js';
import { ManualClock } from '../../kernel/clock.js';
import type { AttemptCall, AttemptEnd, LinkMessage, RelayedLimit } from './link-messages.js';
import { decodeMessage, encodeMessage } from './link-codec.js';
import { LinkServer } from './link-server.js';
import { silentReports } from '../../../test/support/silent-reports.js';

const CALL: AttemptCall = {
  attemptId: 'a',
  requestId: 'a',
  service: 's',
  kind: 'k',
  rank: 0,
  idempotent: false,
  depth: 0,
  repeated: false,
  committed: false,
  timeLeftMs: 1_000,
  dueInMs: 7,
  callerService: 'c',
  method: 'GET',
  path: '/',
  fields: [],
  body: Buffer.alloc(0),
};

const CONFIRMED_AT_MS = 9_400;

const clock = new ManualClock();
const dispatched: AttemptCall[] = [];
let cancelled = 0;
let answer: ((end: AttemptEnd) => void) | undefined;
let server: LinkServer;
const buffers = new ByteBudget(100_000);
let socket: Socket;
const received: LinkMessage[] = [];
const rules: string[] = [];
const relayedLimits: RelayedLimit[] = [];

before(async () => {
  clock.advance(10_000);
  server = new LinkServer({
    limits: { connections: 100, heldBytes: 64 * 1024 * 1024 },
    reports: silentReports,
    bodies: new UnfinishedBodies(buffers),
    clock,
    target: {
      dispatch: (call, onEnd) => {
        dispatched.push(call);
        answer = onEnd;
        return () => {
          cancelled += 1;
          return true;
        };
      },
    },
    status: () => ({ node: 'n', service: 's', target: 'ready', rulesVersion: 1 }),
    rulesDocument: () => Buffer.from('{}'),
    quarantine: { currentUpdate: () => undefined, onUpdate: () => {} },
    quota: {
      queryQuota: ({ requests }, onReply) => {
        const grants = requests.map(({ tenant, waiting }) => ({
          tenant,
          granted: waiting,
          retryAfterMs: 0,
        }));
        onReply({ type: 'grants', grants });
      },
    },
    rulesConfirmation: () => ({ version: 1, ageMs: clock.now() - CONFIRMED_AT_MS }),
    leftTargetOf: () => undefined,
    onRelayedLimit: (limit) => relayedLimits.push(limit),
    onLocalTargetLeft: () => {},
    onPeerStatus: ({ rulesVersion }, requestRules) => {
      if (rulesVersion > 1) requestRules();
    },
    onRules: (document) => rules.push(Buffer.from(document).toString()),
  });
  const port = await server.listen('127.0.0.1', 0);
  socket = connect(port, '127.0.0.1');
  const reader = new FrameReader(1_000_000);
  socket.on('data', (chunk: Buffer) => {
    reader.read(chunk, (frame) => {
      received.push(decodeMessage(frame)!);
      return true;
    });
  });
  await next('hello');
});
after(() => {
  socket.destroy();
  server.close();
});

async function next<T extends LinkMessage['type']>(
  type: T,
): Promise<Extract<LinkMessage, { type: T }>> {
  for (;;) {
    const index = received.findIndex((message) => message.type === type);
    if (index >= 0) return received.splice(index, 1)[0] as Extract<LinkMessage, { type: T }>;
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

test('a call reaches the target with its remaining time', async () => {
  socket.write(encodeMessage({ type: 'call', id: 1, sentAt: clock.now() - 100, call: CALL }));
  while (dispatched.length === 0) await new Promise((resolve) => setTimeout(resolve, 1));
  assert.equal(dispatched[0]?.timeLeftMs, 900);
  answer?.({ type: 'answer', status: 200, fields: [], body: Buffer.alloc(0) });
  const { id, clock: stamp } = await next('end');
  assert.deepEqual([id, stamp], [1, clock.now()]);
});

test('a request limit that another node relayed is passed on with its incarnation', async () => {
  socket.write(
    encodeMessage({ type: 'target-limit', incarnation: 'i-1 5', requestsPerSecond: 7.3 }),
  );
  while (relayedLimits.length === 0) await new Promise((resolve) => setImmediate(resolve));
  const [limit] = relayedLimits;
  assert.deepEqual([limit?.incarnation, limit?.requestsPerSecond], ['i-1 5', 7.3]);
});

test('a call with too long a transit time is refused as not run', async () => {
  const before = dispatched.length;
  socket.write(encodeMessage({ type: 'call', id: 2, sentAt: clock.now() - 500, call: CALL }));
  const { end } = await next('end');
  assert.equal(end.type === 'failure' && end.execution, 'not-run');
  assert.equal(end.type === 'failure' && end.offered, false);
  assert.equal(dispatched.length, before);
});

test('requests are refused as not run while those that wait take all buffers', async () => {
  const before = dispatched.length;
  const send = (id: number, body: Buffer): boolean =>
    socket.write(encodeMessage({ type: 'call', id, sentAt: clock.now(), call: { ...CALL, body } }));
  send(20, Buffer.alloc(90_000));
  while (dispatched.length === before) await new Promise((resolve) => setTimeout(resolve, 1));
  send(21, Buffer.alloc(20_000));
  const { id, end } = await next('end');
  assert.deepEqual([id, end.type === 'failure' && end.execution], [21, 'not-run']);
  assert.equal(dispatched.length, before + 1);
  answer?.({ type: 'answer', status: 200, fields: [], body: Buffer.alloc(0) });
  assert.equal((await next('end')).id, 20);
  assert.equal(buffers.used, 0);
});

test('a ping is answered, rules are sent, a call is cancelled', async () => {
  socket.write(encodeMessage({ type: 'ping' }));
  await next('pong');
  socket.write(encodeMessage({ type: 'rules-wanted' }));
  assert.equal(Buffer.from((await next('rules')).document).toString(), '{}');
  const call = { ...CALL, body: Buffer.alloc(50_000) };
  socket.write(encodeMessage({ type: 'call', id: 3, sentAt: clock.now(), call }));
  socket.write(encodeMessage({ type: 'cancel', id: 3 }));
  while (cancelled === 0) await new Promise((resolve) => setTimeout(resolve, 1));
  assert.deepEqual([cancelled, buffers.used], [1, 0]);
});

test('newer rules are requested from the node that has them', async () => {
  const status = { node: 'm', service: 't', target: 'unknown', rulesVersion: 2 } as const;
  socket.write(encodeMessage({ type: 'status', status }));
  await next('rules-wanted');
  socket.write(encodeMessage({ type: 'rules', document: Buffer.from('newer') }));
  while (rules.length === 0) await new Promise((resolve) => setTimeout(resolve, 1));
  assert.deepEqual(rules, ['newer']);
});

test('answers to calls that need an API key contain how recently the rules were confirmed', async () => {
  const authorization = { tenant: 't', fingerprint: 'f', rulesVersion: 1, validForMs: 300 };
  const before = dispatched.length;
  const sentAt = clock.now() - 100;
  socket.write(encodeMessage({ type: 'call', id: 90, sentAt, call: { ...CALL, authorization } }));
  while (dispatched.length === before) await new Promise((resolve) => setTimeout(resolve, 1));
  assert.equal(dispatched.at(-1)?.authorization?.validForMs, 200, 'the transit time is subtracted');
  answer?.({ type: 'answer', status: 200, fields: [], body: Buffer.alloc(0) });
  const { id, confirmation } = await next('end');
  const ageMs = clock.now() - CONFIRMED_AT_MS;
  assert.deepEqual([id, confirmation], [90, { version: 1, ageMs }]);
});

test('replies carry the number of their request', async () => {
  socket.write(encodeMessage({ type: 'confirmation-wanted', question: 12 }));
  assert.equal((await next('confirmation')).question, 12);
  const requests = [{ tenant: 't', waiting: 2, ahead: 1, returned: 0 }];
  const wanted = { group: 0, requests };
  socket.write(encodeMessage({ type: 'quota-wanted', question: 13, wanted }));
  const { question, reply } = await next('quota-reply');
  const grants = [{ tenant: 't', granted: 2, retryAfterMs: 0 }];
  assert.deepEqual([question, reply], [13, { type: 'grants', grants }]);
});

test('a connection on which nothing is received is closed, and one that pings is not', async () => {
  const silent = connect(socket.remotePort!, '127.0.0.1');
  await new Promise((resolve) => silent.once('data', resolve));
  const closed = new Promise((resolve) => silent.once('close', resolve));
  for (let passed = 0; passed < 150_000; passed += 30_000) {
    socket.write(encodeMessage({ type: 'ping' }));
    await next('pong');
    clock.advance(30_000);
  }
  await closed;
  socket.write(encodeMessage({ type: 'ping' }));
  await next('pong');
});

test('the end of a connection cancels its running calls', async () => {
  const before = dispatched.length;
  const call = { ...CALL, body: Buffer.alloc(50_000) };
  socket.write(encodeMessage({ type: 'call', id: 4, sentAt: clock.now(), call }));
  while (dispatched.length === before) await new Promise((resolve) => setTimeout(resolve, 1));
  socket.destroy();
  while (cancelled < 2) await new Promise((resolve) => setTimeout(resolve, 1));
  assert.deepEqual([cancelled, buffers.used], [2, 0]);
});

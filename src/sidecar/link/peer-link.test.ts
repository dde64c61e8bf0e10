/** The connecting end of a link over a real connection, with a scripted node at the other end. */
import assert from 'node:assert/strict';
import { deserialize, serialize } from 'bson';
import { createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { FrameReader } from '../../peer/frame-reader.js';
import { decodeMessage, encodeMessage } from './link-codec.js';
import type { LoadReport } from '../../core/request.js';
import type { AttemptCall, AttemptEnd, LinkMessage, RelayedLimit } from './link-messages.js';
import { PeerLink } from './peer-link.js';

const STATUS = { node: 'other', service: 's', target: 'ready', rulesVersion: 1 } as const;

let clock: ManualClock;
let server: Server;
let peer: Socket;
let received: LinkMessage[];
let requestLimits: (number | undefined)[] = [];
let rejected: (readonly string[])[] = [];
let relayedLimit: RelayedLimit | undefined;
let reachable: boolean;
/** Reported ages, with the boot times of the requests. */
let confirmations: (readonly [number, number])[];
let link: PeerLink;
/** Whether the other node sends its greeting as soon as a connection opens. */
let greetsAtOnce: boolean;

beforeEach(async () => {
  clock = new ManualClock();
  clock.advance(10_000);
  received = [];
  confirmations = [];
  reachable = false;
  greetsAtOnce = true;
  requestLimits = [];
  rejected = [];
  relayedLimit = undefined;
  server = createServer((socket) => {
    peer = socket;
    const reader = new FrameReader(1_000_000);
    socket.on('data', (chunk: Buffer) => {
      reader.read(chunk, (frame) => {
        received.push(decodeMessage(frame)!);
        return true;
      });
    });
    if (greetsAtOnce) greet();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as { port: number };
  link = new PeerLink({
    node: 'other',
    address: `127.0.0.1:${port}`,
    clock,
    status: () => ({ ...STATUS, node: 'own' }),
    rulesDocument: () => undefined,
    quarantine: { currentUpdate: () => undefined, onUpdate: () => {} },
    leftTarget: () => undefined,
    relayedLimit: () => relayedLimit,
    listener: {
      onStatus: () => {},
      onReachableChanged: (now) => {
        reachable = now;
      },
      onUnresponsive: () => {},
      onRules: () => {},
      onRequestLimit: (requestLimit) => requestLimits.push(requestLimit),
      onRejectedMembers: (members) => rejected.push(members),
      onLocalTargetLeft: () => {},
      onRulesConfirmation: (confirmation, requestedAt) => {
        confirmations.push([confirmation.ageMs, requestedAt]);
      },
    },
  });
  link.open();
  await until(() => reachable);
});

afterEach(() => {
  link.close('test ends');
  peer.destroy();
  server.close();
});

function sendFromPeer(message: LinkMessage): void {
  peer.write(encodeMessage(message));
}

function greet(): void {
  sendFromPeer({ type: 'hello', status: STATUS, clock: 0 });
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 1));
}

function hasReceived(type: LinkMessage['type']): boolean {
  return received.some((message) => message.type === type);
}

function createCall(idempotent: boolean): AttemptCall {
  return {
    attemptId: 'a',
    requestId: 'a',
    service: 's',
    kind: 'k',
    rank: 0,
    idempotent,
    depth: 0,
    repeated: false,
    committed: false,
    timeLeftMs: 5_000,
    dueInMs: 7,
    callerService: 'c',
    method: 'POST',
    path: '/',
    fields: [],
    body: Buffer.alloc(0),
  };
}

/** Advances the clock in steps of 5 ms, so that the checks of the link run. */
function advance(ms: number): void {
  for (let passed = 0; passed < ms; passed += 5) clock.advance(5);
}

test('a call that is not idempotent is not sent to an unresponsive peer and fails as not run', async () => {
  advance(300);
  const ends: AttemptEnd[] = [];
  link.dispatch(createCall(false), (end) => ends.push(end));
  await until(() => hasReceived('ping'));
  assert.equal(hasReceived('call'), false);
  advance(600);
  const [end] = ends;
  assert.deepEqual(end?.type === 'failure' && [end.execution, end.offered], ['not-run', false]);
  assert.equal(reachable, false);
  assert.equal(hasReceived('call'), false);
});

test('after a pong the call is sent with its remaining time', async () => {
  advance(300);
  link.dispatch(createCall(false), () => {});
  await until(() => hasReceived('ping'));
  advance(20);
  sendFromPeer({ type: 'pong' });
  await until(() => hasReceived('call'));
  const call = received.find((message) => message.type === 'call');
  assert.equal(call?.call.timeLeftMs, 4_980);
});

test('an idempotent call is sent at once, as is any call on a recently active link', async () => {
  link.dispatch(createCall(false), () => {});
  await until(() => hasReceived('call'));
  received.length = 0;
  advance(300);
  link.dispatch(createCall(true), () => {});
  await until(() => hasReceived('call'));
});

test('a held call that is cancelled is never sent', async () => {
  advance(300);
  const cancel = link.dispatch(createCall(false), () => assert.fail('it was cancelled'));
  await until(() => hasReceived('ping'));
  assert.equal(cancel(), false);
  sendFromPeer({ type: 'pong' });
  link.dispatch(createCall(true), () => {});
  await until(() => hasReceived('call'));
  assert.equal(received.filter(({ type }) => type === 'call').length, 1);
});

test('a sent idempotent call ends with unknown execution when the peer is unresponsive', async () => {
  const ends: AttemptEnd[] = [];
  link.dispatch(createCall(true), (end) => ends.push(end));
  await until(() => hasReceived('call'));
  advance(1_000);
  const [end] = ends;
  assert.equal(end?.type === 'failure' && end.execution, 'unknown');
});

test('no ping is sent within 250 ms of a call, however long the link was idle before', async () => {
  advance(5_000);
  link.dispatch(createCall(true), () => {});
  await until(() => hasReceived('call'));
  advance(245);
  await new Promise((resolve) => setTimeout(resolve, 20));
  assert.equal(hasReceived('ping'), false);
  advance(5);
  await until(() => hasReceived('ping'));
});

test('a call dispatched while the link connects fails too if the peer is unresponsive', async () => {
  peer.destroy();
  await until(() => !reachable);
  greetsAtOnce = false;
  const first = peer;
  advance(100);
  await until(() => peer !== first);
  const ends: AttemptEnd[] = [];
  link.dispatch(createCall(true), (end) => ends.push(end));
  advance(300);
  greet();
  await until(() => hasReceived('call'));
  advance(1_000);
  assert.equal(ends.length, 1);
});

test('the age of a confirmation counts from the request that it answers', async () => {
  const confirmation = { version: 1, ageMs: 40 };
  link.requestConfirmation();
  await until(() => hasReceived('confirmation-wanted'));
  const first = received.find(({ type }) => type === 'confirmation-wanted');
  assert.ok(first?.type === 'confirmation-wanted');
  clock.advance(700);
  const requestedAgainAt = clock.now();
  link.requestConfirmation();
  await until(() => received.filter(({ type }) => type === 'confirmation-wanted').length === 2);
  const second = received.findLast(({ type }) => type === 'confirmation-wanted');
  assert.ok(second?.type === 'confirmation-wanted');
  // A reply to the first request must not count from the second one.
  sendFromPeer({ type: 'confirmation', question: first.question, confirmation });
  sendFromPeer({ type: 'confirmation', question: second.question, confirmation });
  await until(() => confirmations.length > 0);
  assert.deepEqual(confirmations, [[40, requestedAgainAt]]);
});

test('the age of a confirmation in an answer counts from the call', async () => {
  const authorization = { tenant: 't', fingerprint: 'f', rulesVersion: 1, validForMs: 3_000 };
  const calledAt = clock.now();
  link.dispatch({ ...createCall(true), authorization }, () => {});
  await until(() => hasReceived('call'));
  const call = received.find(({ type }) => type === 'call');
  assert.ok(call?.type === 'call');
  clock.advance(200);
  const end = { type: 'answer', status: 200, fields: [], body: Buffer.alloc(0) } as const;
  sendFromPeer({
    type: 'end',
    id: call.id,
    clock: 5,
    end,
    confirmation: { version: 1, ageMs: 40 },
  });
  await until(() => confirmations.length > 0);
  assert.deepEqual(confirmations, [[40, calledAt]]);
});

test('a node that has restarted receives the relayed request limit before any call', async () => {
  relayedLimit = { incarnation: 'i-1', requestsPerSecond: 4 };
  peer.destroy();
  await until(() => !reachable);
  received.length = 0;
  link.dispatch(createCall(true), () => {});
  for (let step = 0; step < 40 && !hasReceived('call'); step += 1) {
    advance(50);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const types = received.map(({ type }) => type);
  assert.ok(types.includes('call'), types.join(' '));
  assert.ok(types.indexOf('target-limit') < types.indexOf('call'), types.join(' '));
});

test('the request limit of a load report is noted before the attempt ends', async () => {
  const load: LoadReport = {
    inFlight: 1,
    queued: 0,
    limit: 8,
    latencyMs: 5,
    threshold: 0,
    failureShare: 0,
  };
  const noted: (number | undefined)[][] = [];
  for (let call = 0; call < 2; call += 1) {
    link.dispatch(createCall(true), () => noted.push([...requestLimits]));
  }
  await until(() => received.filter(({ type }) => type === 'call').length === 2);
  const ids = received.flatMap((message) => (message.type === 'call' ? [message.id] : []));
  const end = { type: 'answer', status: 200, fields: [], body: Buffer.alloc(0) } as const;
  for (const [index, id] of ids.entries()) {
    const stated = index === 0 ? { ...load, requestLimit: 12 } : load;
    sendFromPeer({ type: 'end', id, clock: 0, end: { ...end, load: stated } });
  }
  await until(() => noted.length === 2);
  assert.deepEqual(noted, [[12], [12, undefined]]);
});

// Guards against invalid figures that nobody is told of, and against an answer that is lost because of them.
test('an answer with an invalid cost ends its call, and the member is reported', async () => {
  const ends: AttemptEnd[] = [];
  link.dispatch(createCall(true), (end) => ends.push(end));
  await until(() => hasReceived('call'));
  const { id } = received.find((message) => message.type === 'call')!;
  const answer = { type: 'answer', status: 200, fields: [], body: Buffer.alloc(0) } as const;
  const valid = encodeMessage({ type: 'end', id, clock: 1, end: answer });
  peer.write(serialize({ ...deserialize(valid), z: Buffer.from([7]) }));
  await until(() => ends.length > 0);
  assert.deepEqual(ends, [answer]);
  assert.deepEqual(rejected, [['z']]);
});

/** Makes the link unresponsive: the other node reads and sends nothing more on its connection. */
async function silenceConnection(): Promise<Socket> {
  const silent = peer;
  silent.pause();
  link.dispatch(createCall(true), () => {});
  for (let step = 0; step < 200 && peer === silent; step += 1) {
    advance(5);
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  return silent;
}

test('a connection that has gone silent is replaced within a second', async () => {
  const from = clock.now();
  const silent = await silenceConnection();
  assert.notEqual(peer, silent);
  await until(() => reachable);
  assert.ok(clock.now() - from <= 1_000, `${clock.now() - from} ms`);
  received.length = 0;
  link.dispatch(createCall(true), () => {});
  await until(() => hasReceived('call'));
});

// Guards against an answer that is lost, or a call that is reported as not run, when its connection is replaced.
test('the answer to a call that cannot be repeated is used when it arrives on the replaced connection', async () => {
  const ends: AttemptEnd[] = [];
  link.dispatch(createCall(false), (end) => ends.push(end));
  await until(() => hasReceived('call'));
  const { id } = received.find((message) => message.type === 'call')!;
  const replaced = await silenceConnection();
  await until(() => reachable);
  assert.deepEqual(ends, []);
  const answer = { type: 'answer', status: 200, fields: [], body: Buffer.alloc(0) } as const;
  replaced.write(encodeMessage({ type: 'end', id, clock: 1, end: answer }));
  await until(() => ends.length > 0);
  assert.deepEqual(ends, [answer]);
});

test('a call that cannot be repeated ends with unknown execution when its replaced connection stays silent', async () => {
  const ends: AttemptEnd[] = [];
  link.dispatch(createCall(false), (end) => ends.push(end));
  await until(() => hasReceived('call'));
  await silenceConnection();
  await until(() => reachable);
  for (let step = 0; step < 100 && ends.length === 0; step += 1) {
    // Keeps the new connection responsive.
    sendFromPeer({ type: 'pong' });
    await new Promise((resolve) => setTimeout(resolve, 2));
    advance(50);
  }
  const [end] = ends;
  assert.equal(end?.type === 'failure' && end.execution, 'unknown');
});

test('the replacement is given up when the other node responds again', async () => {
  greetsAtOnce = false;
  const first = await silenceConnection();
  first.write(encodeMessage({ type: 'pong' }));
  await until(() => reachable);
  const replacement = peer;
  await until(() => replacement.destroyed || replacement.readableEnded);
  received.length = 0;
  first.resume();
  link.dispatch(createCall(true), () => {});
  await until(() => hasReceived('call'));
});

test('a stall of this process is not taken for silence of the other node', async () => {
  link.dispatch(createCall(true), () => {});
  await until(() => hasReceived('call'));
  advance(250);
  await until(() => hasReceived('ping'));
  // All timers that came due during the stall fire before anything is read.
  const { now } = clock;
  clock.now = () => now.call(clock) + 2_000;
  clock.advance(130);
  assert.equal(reachable, true);
  sendFromPeer({ type: 'pong' });
  await new Promise((resolve) => setTimeout(resolve, 20));
  clock.advance(300);
  assert.equal(reachable, true);
});

test('an idle connection is verified', async () => {
  advance(30_100);
  await until(() => hasReceived('ping'));
});

test('a link without calls is found silent when it is verified, however recent its last message', async () => {
  link.announceStatus({ ...STATUS, node: 'own' });
  assert.equal(hasReceived('ping'), false, 'the greeting has just arrived');
  peer.pause();
  link.verify();
  advance(700);
  assert.equal(reachable, false);
});

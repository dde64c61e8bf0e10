/** Bounds on what the clients of a listener hold, on real sockets and under a manual clock. */
import assert from 'node:assert/strict';
import { createServer, type Server, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { waitUntil } from '../../test/stand-ins/mesh.js';
import { ManualClock } from '../kernel/clock.js';
import { ConnectionGuard, type ClientLimits } from './connection-guard.js';

/** More than the socket buffers of both ends hold. */
const LARGE_BYTES = 16 * 1024 * 1024;
const ANSWER_READ_TIMEOUT_MS = 5_000;
const CONNECTIONS = 3;

const LIMITS: ClientLimits = {
  connections: CONNECTIONS,
  requests: { perConnection: 4, total: 40 },
  unreadAnswerBytes: 1.5 * LARGE_BYTES,
  answerReadTimeoutMs: ANSWER_READ_TIMEOUT_MS,
};

let server: Server;
let clock: ManualClock;
let guard: ConnectionGuard;
let hits: string[];
let clients: Socket[];
/** Requests that wait for {@link answerAll}. */
let waiting: ((bytes: number) => void)[];

beforeEach(async () => {
  hits = [];
  clients = [];
  waiting = [];
  clock = new ManualClock();
  guard = new ConnectionGuard(LIMITS, clock, {
    note: (limit) => hits.push(limit),
    close: () => {},
  });
  server = createServer((request, response) => {
    const connection = guard.of(request.socket)!;
    const accepted = guard.accept(connection, request, response);
    if (accepted === undefined || accepted === 'refused') return;
    waiting.push((bytes) => {
      guard.noteAnswer(connection, accepted, bytes);
      answer(response, bytes);
    });
  });
  server.on('connection', (socket) => guard.open(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
});

afterEach(() => {
  for (const client of clients) client.destroy();
  guard.destroyAll();
  server.close();
});

function answer(response: ServerResponse, bytes: number): void {
  response.writeHead(200, { 'Content-Length': bytes }).end(Buffer.alloc(bytes));
}

/** A client that sends requests and reads nothing until it is resumed. */
function open(requests: number): Socket {
  const { port } = server.address() as AddressInfo;
  const client = connect(port, '127.0.0.1').pause();
  client.on('error', () => undefined);
  client.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(requests));
  clients.push(client);
  return client;
}

async function answerAll(count: number, bytes: number): Promise<void> {
  await waitUntil(() => waiting.length === count);
  for (const respond of waiting.splice(0)) respond(bytes);
}

test('an answer that is not read in time ends its connection, and not before', async () => {
  open(1);
  await answerAll(1, LARGE_BYTES);
  clock.advance(ANSWER_READ_TIMEOUT_MS - 1_000);
  assert.deepEqual(hits, []);
  clock.advance(1_000);
  assert.deepEqual(hits, ['answer-time']);
  await waitUntil(() => guard.size === 0);
});

test('the time of an answer begins when the one before it is written', async () => {
  const client = open(2);
  await answerAll(2, LARGE_BYTES);
  clock.advance(ANSWER_READ_TIMEOUT_MS - 1_000);
  let received = 0;
  client.on('data', (chunk) => {
    received += chunk.length;
    if (received > 1.1 * LARGE_BYTES) client.pause();
  });
  client.resume();
  await waitUntil(() => guard.unfinishedCount === 1);
  clock.advance(ANSWER_READ_TIMEOUT_MS - 1_000);
  assert.deepEqual(hits, []);
});

test('the connection with the most unread bytes ends when all together hold too many', async () => {
  open(1);
  await answerAll(1, LARGE_BYTES);
  open(1);
  await answerAll(1, LARGE_BYTES / 2);
  assert.deepEqual(hits, []);
  open(1);
  await answerAll(1, LARGE_BYTES / 4);
  assert.deepEqual(hits, ['answer-bytes']);
  await waitUntil(() => guard.size === 2);
});

test('one answer larger than the bound on unread bytes is delivered', async () => {
  const client = open(1);
  await answerAll(1, 2 * LARGE_BYTES);
  let received = 0;
  client.on('data', (chunk) => (received += chunk.length)).resume();
  await waitUntil(() => received > 2 * LARGE_BYTES);
  assert.deepEqual(hits, []);
});

test('a new connection takes the place of one that never sent a request', async () => {
  open(1);
  await waitUntil(() => waiting.length === 1);
  const silent = open(0);
  await waitUntil(() => guard.size === 2);
  open(1);
  await waitUntil(() => waiting.length === 2);
  assert.equal(guard.size, CONNECTIONS);
  assert.deepEqual(hits, []);
  open(1);
  await waitUntil(() => waiting.length === 3);
  assert.deepEqual(hits, ['connections']);
  assert.equal(guard.size, CONNECTIONS);
  silent.resume();
  await waitUntil(() => silent.destroyed);
});

test('a new connection is closed while all others have a request in progress', async () => {
  for (let index = 0; index < CONNECTIONS; index += 1) open(1);
  await waitUntil(() => waiting.length === CONNECTIONS);
  const refused = open(1).resume();
  await waitUntil(() => refused.destroyed);
  assert.equal(guard.unfinishedCount, CONNECTIONS);
});

test('a client that sends far too many requests ahead loses its connection at once', async () => {
  const client = open(100).resume();
  await waitUntil(() => client.destroyed);
  assert.ok(hits.every((limit) => limit === 'requests-ahead'));
  await waitUntil(() => guard.unfinishedCount === 0);
});

test('an answer that is ready after its connection has ended is not counted as unread', async () => {
  const client = open(1);
  await waitUntil(() => waiting.length === 1);
  client.destroy();
  await waitUntil(() => guard.size === 0);
  await answerAll(1, 2 * LARGE_BYTES);
  clock.advance(2 * ANSWER_READ_TIMEOUT_MS);
  open(1);
  await answerAll(1, LARGE_BYTES);
  open(1);
  await answerAll(1, LARGE_BYTES / 4);
  assert.deepEqual(hits, []);
});

/** A client that begins a head with this many fields and doesn't end it. */
function begin(fields: number): Socket {
  const client = open(0);
  client.write(`GET / HTTP/1.1\r\nHost: a\r\n${'abc: def\r\n'.repeat(fields)}`);
  return client;
}

test('the longest of the heads that have not ended is closed when all hold too much', async () => {
  const [longest, other] = [begin(320), begin(256)];
  await waitUntil(
    () => guard.connections.filter(({ socket }) => socket.bytesRead > 0).length === 2,
  );
  assert.deepEqual(hits, []);
  const last = begin(128);
  longest.resume();
  await waitUntil(() => longest.destroyed);
  assert.deepEqual([hits, guard.size, other.destroyed], [['heads'], 2, false]);
  last.write('\r\n');
  await waitUntil(() => waiting.length === 1);
});

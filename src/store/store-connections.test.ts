/** Connections to a scripted store, some of which go silent. */
import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import type { StoreExchange, StoreRequest } from './metadata-store.js';
import { StoreConnections } from './store-connections.js';
import { createAnswerIntake } from '../../test/support/answer-intake.js';

const TIMEOUT_MS = 100;
const WAIT_MS = 5_000;

let server: Server;
let connections: StoreConnections;
/** Connections on which nothing more is answered. */
let silent: Set<Socket>;
let opened: Socket[];
let unanswered: string[];

beforeEach(async () => {
  [silent, opened, unanswered] = [new Set(), [], []];
  server = createServer((request, response) => {
    if (request.url !== '/wait' && !silent.has(request.socket)) response.end('{}');
  });
  server.on('connection', (socket) => opened.push(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  connections = new StoreConnections(address, createAnswerIntake(), (connection) =>
    unanswered.push(connection),
  );
});
afterEach(() => {
  connections.close();
  server.close();
  server.closeAllConnections();
});

function send(options: Partial<StoreRequest> = {}): Promise<StoreExchange> {
  return connections.send({ method: 'GET', path: '/', timeoutMs: TIMEOUT_MS, ...options });
}

function wait(): Promise<StoreExchange> {
  return send({ path: '/wait', timeoutMs: WAIT_MS, isWait: true });
}

async function openConnections(count: number): Promise<void> {
  await Promise.all(Array.from({ length: count }, () => send()));
}

test('after one request without an answer no idle connection is used again', async () => {
  await openConnections(4);
  silent = new Set(opened);
  assert.equal((await send()).type, 'failure');
  assert.equal((await send()).type, 'answer');
  assert.deepEqual(unanswered, ['reused']);
});

test('a wait on an older connection is interrupted once a new connection is answered', async () => {
  await openConnections(2);
  const waiting = wait();
  silent = new Set(opened);
  assert.equal((await send()).type, 'failure');
  await send();
  assert.equal((await waiting).type, 'interrupted');
  assert.deepEqual(unanswered, ['reused']);
});

// Guards against a listing after each lost answer while the whole store is away.
test('waits go on while new connections get no answer either', async () => {
  await openConnections(2);
  const waiting = wait();
  let ended = false;
  void waiting.then(() => (ended = true));
  server.on('connection', (socket) => silent.add(socket));
  silent = new Set(opened);
  await send();
  assert.equal((await send()).type, 'failure');
  assert.equal(ended, false);
});

test('a request with a connection of its own is answered while all others are silent', async () => {
  await openConnections(3);
  silent = new Set(opened);
  assert.equal((await send({ onNewConnection: true })).type, 'answer');
});

test('when all connections are replaced waits are interrupted and the next request is answered', async () => {
  await openConnections(2);
  const waiting = wait();
  silent = new Set(opened);
  connections.replaceAll();
  assert.equal((await waiting).type, 'interrupted');
  assert.equal((await send()).type, 'answer');
  assert.deepEqual(unanswered, []);
});

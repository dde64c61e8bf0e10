/** Order of new connections and requests, under a manual clock and over real sockets. */
import assert from 'node:assert/strict';
import { createServer, type Server, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { ManualClock, systemClock } from '../kernel/clock.js';
import { AcceptBurst, MAX_HOLD_MS } from './accept-burst.js';

interface Harness {
  readonly burst: AcceptBurst;
  readonly clock: ManualClock;
  readonly done: string[];
  request(name: string): void;
  endTurn(): void;
}

function createHarness(): Harness {
  const clock = new ManualClock();
  const turns: (() => void)[] = [];
  const burst = new AcceptBurst(clock, (callback) => turns.push(callback));
  const done: string[] = [];
  const request = (name: string): void => {
    burst.run(() => done.push(name));
  };
  return { burst, clock, done, request, endTurn: () => turns.shift()?.() };
}

test('a request is handled at once while no connection waits', () => {
  const { done, request } = createHarness();
  request('a');
  assert.deepEqual(done, ['a']);
});

test('requests wait for a turn that accepts no connection, and keep their order', () => {
  const { burst, done, request, endTurn } = createHarness();
  burst.noteConnection();
  request('a');
  endTurn();
  burst.noteConnection();
  request('b');
  endTurn();
  assert.deepEqual(done, []);
  endTurn();
  assert.deepEqual(done, ['a', 'b']);
  request('c');
  assert.deepEqual(done, ['a', 'b', 'c']);
});

test('an endless burst delays requests for a limited time', () => {
  const { burst, clock, done, request, endTurn } = createHarness();
  burst.noteConnection();
  request('a');
  for (let waitedMs = 0; waitedMs < MAX_HOLD_MS; waitedMs += 1) {
    assert.deepEqual(done, []);
    clock.advance(1);
    endTurn();
    burst.noteConnection();
  }
  assert.deepEqual(done, ['a']);
});

test('a task that follows the waiting connections runs once a turn accepts none', () => {
  const { burst, done, endTurn } = createHarness();
  burst.runAfterAccepts(() => done.push('closed'));
  endTurn();
  burst.noteConnection();
  endTurn();
  assert.deepEqual(done, []);
  endTurn();
  assert.deepEqual(done, ['closed']);
});

/** Connections that are open and busy before the burst. */
const BUSY_CONNECTIONS = 20;
const NEW_CONNECTIONS = 40;
/** Work of the server for each request, in milliseconds. */
const WORK_MS = 4;
/** Requests of each older connection that may be handled before those of new connections. */
const MAX_ROUNDS = 5;

function work(): void {
  const end = performance.now() + WORK_MS;
  while (performance.now() < end);
}

function startServer(): Promise<Server> {
  const burst = new AcceptBurst(systemClock);
  const answer = (response: ServerResponse): void => {
    work();
    response.end();
  };
  const server = createServer((_request, response) => {
    burst.run(() => {
      answer(response);
    });
  });
  server.on('connection', () => {
    burst.noteConnection();
  });
  return new Promise((resolve) => server.listen(0, '127.0.0.1', () => resolve(server)));
}

function openConnection(server: Server, onAnswer: (socket: Socket) => void): Socket {
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.on('data', () => {
    onAnswer(socket);
  });
  socket.on('error', () => undefined);
  sendRequest(socket);
  return socket;
}

function sendRequest(socket: Socket): void {
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
}

/** Guards against requests that wait for seconds because their connections are not accepted. */
test('new connections are served while older ones keep the server busy', async (context) => {
  const server = await startServer();
  const sockets: Socket[] = [];
  context.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  let busyAnswers = 0;
  await new Promise<void>((resolve) => {
    for (let index = 0; index < BUSY_CONNECTIONS; index += 1) {
      sockets.push(
        openConnection(server, (socket) => {
          busyAnswers += 1;
          if (busyAnswers >= 2 * BUSY_CONNECTIONS) resolve();
          sendRequest(socket);
        }),
      );
    }
  });
  const answersBefore = busyAnswers;
  await new Promise<void>((resolve) => {
    let answered = 0;
    for (let index = 0; index < NEW_CONNECTIONS; index += 1) {
      sockets.push(
        openConnection(server, () => {
          answered += 1;
          if (answered === NEW_CONNECTIONS) resolve();
        }),
      );
    }
  });
  const rounds = (busyAnswers - answersBefore) / BUSY_CONNECTIONS;
  context.diagnostic(`${rounds} requests of each older connection were handled first`);
  assert.ok(rounds <= MAX_ROUNDS, `${rounds}`);
});

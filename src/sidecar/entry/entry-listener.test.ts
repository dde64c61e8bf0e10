/** The callers' listener on real sockets: effects of the end of a connection on its requests. */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { findFreePort } from '../../trials/free-ports.js';
import { systemClock } from '../../kernel/clock.js';
import { waitUntil } from '../../../test/stand-ins/mesh.js';
import type { ConnectionSide } from '../../http/caller-connection.js';
import { ConnectionGuard, type ClientLimits } from '../../http/connection-guard.js';
import type { CallerAnswer, CallerExchange } from './caller-exchange.js';
import { EntryListener } from './entry-listener.js';
import { silentReports } from '../../../test/support/silent-reports.js';

/** More than the socket buffers of both ends hold. */
const LARGE_BYTES = 16 * 1024 * 1024;

const LIMITS: ClientLimits = {
  connections: 100,
  requests: { perConnection: 64, total: 1_000 },
  unreadAnswerBytes: 2 * LARGE_BYTES,
  answerReadTimeoutMs: 30_000,
};

/** One request that the listener accepted. */
interface TestRequest {
  readonly path: string;
  readonly answer: (answer: CallerAnswer) => void;
  end: { readonly by: ConnectionSide; readonly answered: boolean } | undefined;
}

/** A caller that collects the bytes it receives. */
class Caller {
  readonly socket: Socket;
  private readonly chunks: Buffer[] = [];
  reset = false;
  ended = false;

  constructor() {
    this.socket = connect(port, '127.0.0.1');
    this.socket.on('data', (chunk: Buffer) => this.chunks.push(chunk));
    this.socket.on('error', () => (this.reset = true));
    this.socket.on('close', () => (this.ended = true));
  }

  get text(): string {
    return Buffer.concat(this.chunks).toString('latin1');
  }

  write(path: string, fields = ''): void {
    this.socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\n${fields}\r\n`);
  }
}

let port: number;
let listener: EntryListener;
let acceptedRequests: TestRequest[];
let droppedPaths: string[];
let callers: Caller[];
/** Sent in place of an answer that cannot be written. */
let unwritableReplacement: CallerAnswer;

beforeEach(async () => {
  acceptedRequests = [];
  droppedPaths = [];
  callers = [];
  unwritableReplacement = { status: 502, fields: [], body: Buffer.from('unwritable') };
  port = await findFreePort();
  listener = new EntryListener(
    {
      handle: (exchange: CallerExchange, answer) => {
        const request: TestRequest = { path: exchange.path, answer, end: undefined };
        acceptedRequests.push(request);
        return {
          onConnectionEnd: (by, answered) => (request.end = { by, answered }),
          giveUp: () => {
            answer({ status: 502, fields: [], body: Buffer.from('given up') });
          },
        };
      },
      onRequestDropped: ({ path }) => droppedPaths.push(path),
      onTooManyRequests: () => assert.fail(),
      onUnwritableAnswer: () => unwritableReplacement,
    },
    new ConnectionGuard(LIMITS, systemClock, silentReports),
    systemClock,
  );
  await listener.listen('127.0.0.1', port);
});

afterEach(async () => {
  for (const { socket } of callers) socket.destroy();
  await listener.close();
});

function connectCaller(): Caller {
  const caller = new Caller();
  callers.push(caller);
  return caller;
}

async function waitForRequests(count: number): Promise<void> {
  await waitUntil(() => acceptedRequests.length === count);
}

function answer({ answer: send }: TestRequest, body: string | Buffer = 'ok'): void {
  send({ status: 200, fields: [], body: Buffer.from(body) });
}

test('all pipelined requests are answered before a stop ends their connection', async () => {
  const caller = connectCaller();
  caller.write('/1');
  caller.write('/2');
  await waitForRequests(2);
  listener.finish();
  caller.write('/3');
  await waitUntil(() => droppedPaths.length === 1);
  answer(acceptedRequests[0]!, 'one');
  answer(acceptedRequests[1]!, 'two');
  await waitUntil(() => caller.ended);
  assert.match(caller.text, /one[^]*connection: close[^]*two$/i);
  assert.deepEqual(droppedPaths, ['/3']);
  assert.equal(caller.reset, false);
});

test('the last of pipelined requests closes the connection, whichever is answered first', async () => {
  const caller = connectCaller();
  for (const path of ['/1', '/2', '/3']) caller.write(path);
  await waitForRequests(3);
  listener.closeAfterAnswers();
  for (const index of [2, 1, 0]) answer(acceptedRequests[index]!, `answer ${index + 1};`);
  await waitUntil(() => caller.ended);
  assert.deepEqual(caller.text.match(/answer \d;/g), ['answer 1;', 'answer 2;', 'answer 3;']);
  assert.equal(caller.text.match(/connection: close/gi)?.length, 1);
  assert.ok(acceptedRequests.every(({ end }) => end === undefined));
});

test('an answer that closes its connection arrives whole although another request follows', async () => {
  const caller = connectCaller();
  caller.socket.pause();
  caller.write('/1');
  await waitForRequests(1);
  listener.closeAfterAnswers();
  answer(acceptedRequests[0]!, Buffer.alloc(LARGE_BYTES, 'x'));
  caller.write('/2');
  caller.socket.resume();
  await waitUntil(() => caller.ended);
  assert.equal(caller.text.split('\r\n\r\n')[1]?.length, LARGE_BYTES);
  assert.deepEqual(
    acceptedRequests.map(({ path }) => path),
    ['/1'],
  );
});

test('an answer to a request whose body was not read arrives whole', async () => {
  const caller = connectCaller();
  caller.write('/1', 'Content-Length: 8000000\r\n');
  await waitForRequests(1);
  caller.socket.write(Buffer.alloc(4_000_000));
  answer(acceptedRequests[0]!, 'refused');
  caller.socket.write(Buffer.alloc(4_000_000));
  await waitUntil(() => caller.text.endsWith('refused'));
  await waitUntil(() => caller.ended);
  assert.equal(caller.reset, false);
});

test('input that is not HTTP does not cut off the answer to the request before it', async () => {
  const caller = connectCaller();
  caller.write('/1');
  await waitForRequests(1);
  caller.socket.write('not HTTP\r\n\r\n');
  await new Promise((resolve) => setTimeout(resolve, 50));
  answer(acceptedRequests[0]!, 'whole');
  await waitUntil(() => caller.ended);
  assert.match(caller.text, /connection: close[^]*whole$/i);
});

test('an idle connection is closed after its timeout and accepts no more requests', async () => {
  listener.setLimits({
    headerTimeoutMs: 1_000,
    idleTimeoutMs: -1_400,
    maxBodyBytes: 0,
    maxHeaderBytes: 16_384,
  });
  const caller = connectCaller();
  caller.write('/1');
  await waitForRequests(1);
  answer(acceptedRequests[0]!);
  caller.socket.on('end', () => {
    caller.write('/2');
  });
  await waitUntil(() => caller.ended);
  assert.equal(acceptedRequests.length, 1);
});

test('requests are notified of the side that ended their connection, and abandoned requests are answered', async () => {
  const [leaving, cut, patient] = [connectCaller(), connectCaller(), connectCaller()];
  leaving.write('/leaving');
  await waitForRequests(1);
  cut.write('/cut');
  await waitForRequests(2);
  patient.write('/patient');
  await waitForRequests(3);
  leaving.socket.destroy();
  await waitUntil(() => acceptedRequests[0]!.end !== undefined);
  assert.deepEqual(acceptedRequests[0]!.end, { by: 'caller', answered: false });
  answer(acceptedRequests[1]!, Buffer.alloc(LARGE_BYTES));
  cut.socket.pause();
  listener.finish();
  listener.giveUp();
  await waitUntil(() => patient.ended);
  assert.match(patient.text, /502[^]*given up$/);
  await listener.close();
  assert.deepEqual(acceptedRequests[1]!.end, { by: 'node', answered: true });
  assert.equal(acceptedRequests[2]!.end, undefined);
});

test('a connection that opens while the listener closes is ended and no request is accepted on it', async () => {
  const caller = connectCaller();
  await waitUntil(() => !caller.socket.connecting);
  listener.finish();
  caller.write('/late');
  await waitUntil(() => caller.ended);
  assert.deepEqual(acceptedRequests, []);
});

test('the address of a closed listener can be bound again at once', async () => {
  const caller = connectCaller();
  caller.write('/1');
  await waitForRequests(1);
  await listener.close();
  const next = new EntryListener(
    {
      handle: () => assert.fail(),
      onRequestDropped() {},
      onTooManyRequests: () => assert.fail(),
      onUnwritableAnswer: () => assert.fail(),
    },
    new ConnectionGuard(LIMITS, systemClock, silentReports),
    systemClock,
  );
  await next.listen('127.0.0.1', port);
  await next.close();
});

/** Connections that open at the same time. */
const BURST = 30;

/** Guards against a reset of the connections in the accept queue when a planned stop closes the listener. */
test('connections that wait to be accepted are closed without a reset at a planned stop', async () => {
  const burst = Array.from({ length: BURST }, () => connectCaller());
  for (const { socket } of burst) {
    socket.once('connect', () => {
      listener.finish();
    });
  }
  await waitUntil(() => burst.every(({ ended }) => ended));
  assert.equal(burst.filter(({ reset }) => reset).length, 0);
});

test('requests of a burst are answered when the listener gives up', async () => {
  const burst = Array.from({ length: BURST }, () => connectCaller());
  for (const [index, caller] of burst.entries()) caller.write(`/${index}`);
  await waitUntil(() => acceptedRequests.length > 0);
  listener.closeAfterAnswers();
  await waitUntil(() => {
    listener.giveUp();
    return burst.every(({ text }) => text.includes('given up'));
  });
  assert.equal(acceptedRequests.length, BURST);
  assert.deepEqual(droppedPaths, []);
});

const UNWRITABLE: readonly (readonly [string, Partial<CallerAnswer>])[] = [
  ['a status below 100', { status: 0 }],
  ['a field name that is no token', { fields: ['a b', 'c'] }],
  ['a field value with a line break', { fields: ['X-Odd', 'a\r\nX-Smuggled: 1'] }],
];

for (const [name, parts] of UNWRITABLE) {
  test(`an answer with ${name} fails its own request only`, async () => {
    const [one, other] = [connectCaller(), connectCaller()];
    one.write('/1');
    one.write('/2');
    other.write('/other');
    await waitForRequests(3);
    const find = (path: string): TestRequest =>
      acceptedRequests.find((each) => each.path === path)!;
    find('/1').answer({ status: 200, fields: [], body: Buffer.from('odd'), ...parts });
    answer(find('/2'), 'second');
    answer(find('/other'), 'other');
    await waitUntil(() => one.text.endsWith('second') && other.text.endsWith('other'));
    assert.match(one.text, /^HTTP\/1\.1 502 [^]*unwritable.*HTTP\/1\.1 200 [^]*second$/);
    assert.doesNotMatch(one.text, /odd|smuggled/i);
    assert.ok(!one.reset && !other.reset);
  });
}

test('a connection is closed when no answer to its request can be written', async () => {
  unwritableReplacement = { status: 0, fields: [], body: Buffer.alloc(0) };
  const [one, other] = [connectCaller(), connectCaller()];
  one.write('/1');
  other.write('/other');
  await waitForRequests(2);
  const find = (path: string): TestRequest => acceptedRequests.find((each) => each.path === path)!;
  find('/1').answer({ status: 0, fields: [], body: Buffer.alloc(0) });
  await waitUntil(() => one.ended);
  answer(find('/other'), 'other');
  await waitUntil(() => other.text.endsWith('other'));
  assert.equal(one.text, '');
});

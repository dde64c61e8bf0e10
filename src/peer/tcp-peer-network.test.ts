/** What only the TCP transport has: the handshake, limits and the life of connections. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { serialize } from 'bson';
import { Result } from 'true-myth';
import { createRandom } from '../core/random.js';
import { ResultCode } from '../core/result-code.js';
import { splitAddress } from '../config/settings.js';
import { ManualClock } from '../kernel/clock.js';
import { Event, type EventFields, type EventLog } from '../kernel/event.js';
import { decodeFrame, encodeFrame, type Envelope } from './frame-codec.js';
import { FrameReader } from './frame-reader.js';
import {
  createHelloFrame,
  createNonce,
  createProof,
  createProofFrame,
  readHello,
} from './handshake.js';
import { IDLE_CLOSE_MS, TcpPeerNetwork } from './tcp-peer-network.js';

const KEY = 'a key of the TCP tests';
const MAX_FRAME_BYTES = 20_000;

class EventRecorder implements EventLog {
  readonly events: { event: Event; fields: EventFields }[] = [];
  private waiting: (() => void)[] = [];

  emit(event: Event, fields: EventFields = {}): void {
    this.events.push({ event, fields });
    for (const wake of this.waiting.splice(0)) wake();
  }

  async waitFor(event: Event): Promise<EventFields> {
    for (;;) {
      const found = this.events.find((entry) => entry.event === event);
      if (found !== undefined) return found.fields;
      await new Promise<void>((resolve) => this.waiting.push(resolve));
    }
  }
}

interface Node {
  readonly network: TcpPeerNetwork;
  readonly log: EventRecorder;
  readonly clock: ManualClock;
}

async function startNode(
  context: TestContext,
  node: string,
  overrides: { sharedKey?: string; clock?: ManualClock; maxInFlight?: number } = {},
): Promise<Node> {
  const log = new EventRecorder();
  const clock = overrides.clock ?? new ManualClock();
  const network = new TcpPeerNetwork({
    node,
    address: '127.0.0.1:0',
    sharedKey: overrides.sharedKey ?? KEY,
    limits: {
      maxFrameBytes: MAX_FRAME_BYTES,
      maxInFlight: overrides.maxInFlight ?? 10,
      maxMailboxLength: 100,
      maxWriteBacklogBytes: 1_000_000,
    },
    clock,
    log,
    random: createRandom(1),
  });
  await network.listen();
  context.after(() => network.close());
  return { network, log, clock };
}

function serveEcho({ network }: Node): void {
  network.handle(
    'configFetch',
    (body) => Result.ok(body as { after: number }),
    (_from, { after }) => Promise.resolve(Result.ok({ records: [], version: after })),
  );
}

async function fetchCode({ network }: Node, node: string, after: unknown = 1): Promise<ResultCode> {
  const result = await network.call(
    node,
    'configFetch',
    { after: after as number },
    { timeoutMs: 1_000 },
  );
  return result.isErr ? result.error.code : ResultCode.Ok;
}

function encode(envelope: Envelope): Buffer {
  return encodeFrame(envelope, MAX_FRAME_BYTES).unwrapOr(Buffer.alloc(0));
}

/** A connection that speaks frames by hand. */
class RawClient {
  private readonly frames: Envelope[] = [];
  private wake: () => void = () => {};
  readonly closed: Promise<unknown>;

  constructor(readonly socket: Socket) {
    const reader = new FrameReader(MAX_FRAME_BYTES);
    socket.on('data', (chunk) => {
      reader.read(chunk, (frame) => this.frames.push(decodeFrame(frame).unwrapOr(undefined!)) > 0);
      this.wake();
    });
    socket.on('error', () => {});
    this.closed = once(socket, 'close');
  }

  async next(): Promise<Envelope> {
    while (this.frames.length === 0) await new Promise<void>((resolve) => (this.wake = resolve));
    return this.frames.shift()!;
  }

  /** Authenticates as a node with the right key. */
  async authenticate(): Promise<void> {
    const clientNonce = createNonce();
    this.socket.write(encode(createHelloFrame({ node: 'raw', to: 'node-b', nonce: clientNonce })));
    const hello = readHello(await this.next());
    const context = {
      clientNode: 'raw',
      serverNode: 'node-b',
      clientNonce,
      serverNonce: hello!.nonce,
    };
    this.socket.write(encode(createProofFrame(createProof(KEY, 'client', context))));
  }
}

function openRaw(context: TestContext, node: Node): RawClient {
  const socket = connect(splitAddress(node.network.localAddress));
  context.after(() => socket.destroy());
  return new RawClient(socket);
}

const oversized = Buffer.alloc(4);
oversized.writeInt32LE(MAX_FRAME_BYTES + 1);

const BEFORE_AUTHENTICATION: Record<string, { bytes: Buffer; event: Event; code: ResultCode }> = {
  'an HTTP request': {
    bytes: Buffer.from('GET / HTTP/1.1\r\nHost: x\r\n\r\n'),
    event: Event.FrameRejected,
    code: ResultCode.FrameTooLarge,
  },
  'zero bytes': {
    bytes: Buffer.alloc(64),
    event: Event.FrameRejected,
    code: ResultCode.FrameMalformed,
  },
  'a frame above the limit of the handshake': {
    bytes: Buffer.from(serialize({ t: 'hello', id: 0, name: 'x'.repeat(2_000) })),
    event: Event.FrameRejected,
    code: ResultCode.FrameTooLarge,
  },
  'a document that is no frame': {
    bytes: Buffer.from(serialize({ some: 'thing' })),
    event: Event.FrameRejected,
    code: ResultCode.FrameMalformed,
  },
  'a broken document': {
    bytes: Buffer.concat([Buffer.from([12, 0, 0, 0]), Buffer.alloc(8, 0xff)]),
    event: Event.FrameRejected,
    code: ResultCode.FrameMalformed,
  },
  'a call without a handshake': {
    bytes: encode({ t: 'call', id: 1, name: 'configFetch', body: { after: 1 } }),
    event: Event.PeerRejected,
    code: ResultCode.PeerUnauthenticated,
  },
  'another protocol version': {
    bytes: encode({ t: 'hello', id: 0, name: 'raw', body: { version: 99, nonce: createNonce() } }),
    event: Event.PeerRejected,
    code: ResultCode.PeerUnauthenticated,
  },
  'a hello and then a wrong proof': {
    bytes: Buffer.concat([
      encode(createHelloFrame({ node: 'raw', nonce: createNonce() })),
      encode(createProofFrame(Buffer.alloc(32))),
    ]),
    event: Event.PeerRejected,
    code: ResultCode.PeerUnauthenticated,
  },
};

for (const [name, { bytes, event, code }] of Object.entries(BEFORE_AUTHENTICATION)) {
  test(`${name} from a stranger closes its link and disturbs nobody`, async (context) => {
    const clock = new ManualClock();
    const caller = await startNode(context, 'node-a', { clock });
    const server = await startNode(context, 'node-b', { clock });
    serveEcho(server);
    caller.network.setAddress('node-b', server.network.localAddress);
    assert.equal(await fetchCode(caller, 'node-b'), ResultCode.Ok);
    const raw = openRaw(context, server);
    raw.socket.write(bytes);
    await raw.closed;
    assert.equal((await server.log.waitFor(event))['code'], code);
    assert.equal(await fetchCode(caller, 'node-b'), ResultCode.Ok);
    assert.equal(
      caller.log.events.some((entry) => entry.event === Event.PeerDisconnected),
      false,
    );
  });
}

const AFTER_AUTHENTICATION: Record<string, { bytes: Buffer; code: ResultCode }> = {
  'a frame above the limit': { bytes: oversized, code: ResultCode.FrameTooLarge },
  'a reply that nobody asked for': {
    bytes: encode({ t: 'reply', id: 1, body: {} }),
    code: ResultCode.FrameMalformed,
  },
  'a correlation id used twice': {
    bytes: Buffer.concat(
      [1, 1].map((id) => encode({ t: 'call', id, name: 'configFetch', body: {} })),
    ),
    code: ResultCode.FrameMalformed,
  },
  'a negative correlation id': {
    bytes: encode({ t: 'call', id: -1, name: 'configFetch', body: {} }),
    code: ResultCode.FrameMalformed,
  },
};

for (const [name, { bytes, code }] of Object.entries(AFTER_AUTHENTICATION)) {
  test(`${name} from an authenticated peer closes the link`, async (context) => {
    const server = await startNode(context, 'node-b');
    serveEcho(server);
    const raw = openRaw(context, server);
    await raw.authenticate();
    raw.socket.write(bytes);
    await raw.closed;
    assert.equal((await server.log.waitFor(Event.FrameRejected))['code'], code);
  });
}

test('a silent stranger is closed when the handshake takes too long', async (context) => {
  const server = await startNode(context, 'node-b');
  const raw = openRaw(context, server);
  await once(raw.socket, 'connect');
  while (server.network.linkCount === 0) await new Promise((resolve) => setImmediate(resolve));
  server.clock.advance(3_000);
  await raw.closed;
  await server.log.waitFor(Event.PeerRejected);
});

test('nodes with different keys refuse each other before any call is sent', async (context) => {
  const caller = await startNode(context, 'node-a');
  const server = await startNode(context, 'node-b', { sharedKey: 'another shared key' });
  serveEcho(server);
  caller.network.setAddress('node-b', server.network.localAddress);
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.PeerUnreachable);
  await caller.log.waitFor(Event.PeerRejected);
});

test('another node under the address is refused', async (context) => {
  const caller = await startNode(context, 'node-a');
  const server = await startNode(context, 'node-c');
  caller.network.setAddress('node-b', server.network.localAddress);
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.PeerUnreachable);
  await caller.log.waitFor(Event.PeerRejected);
});

/** A server without the key that sends back what it can get. */
async function startReflector(context: TestContext, answer: Buffer | 'echo'): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (chunk) => socket.write(answer === 'echo' ? chunk : answer));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  return server;
}

test('a hello sent back to its sender is no proof', async (context) => {
  const caller = await startNode(context, 'node-a');
  const reflector = await startReflector(context, 'echo');
  const { port } = reflector.address() as AddressInfo;
  caller.network.setAddress('node-b', `127.0.0.1:${port}`);
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.PeerUnreachable);
  await caller.log.waitFor(Event.PeerRejected);
});

test('a proof covers role, both nodes and both nonces', () => {
  const context = {
    clientNode: 'a',
    serverNode: 'b',
    clientNonce: createNonce(),
    serverNonce: createNonce(),
  };
  const proofs = [
    createProof(KEY, 'client', context),
    createProof(KEY, 'server', context),
    createProof('another shared key', 'client', context),
    createProof(KEY, 'client', { ...context, clientNode: 'c' }),
    createProof(KEY, 'client', { ...context, serverNode: 'c' }),
    createProof(KEY, 'client', { ...context, clientNonce: createNonce() }),
    createProof(KEY, 'client', { ...context, serverNonce: createNonce() }),
    createProof(KEY, 'client', {
      ...context,
      clientNonce: context.serverNonce,
      serverNonce: context.clientNonce,
    }),
  ];
  assert.equal(new Set(proofs.map((proof) => proof.toString('hex'))).size, proofs.length);
});

test('a message above the frame limit is refused here and the link stays up', async (context) => {
  const caller = await startNode(context, 'node-a');
  const server = await startNode(context, 'node-b');
  serveEcho(server);
  caller.network.setAddress('node-b', server.network.localAddress);
  for (const bytes of [MAX_FRAME_BYTES, 1_000_000]) {
    assert.equal(await fetchCode(caller, 'node-b', 'x'.repeat(bytes)), ResultCode.FrameTooLarge);
    assert.equal(await fetchCode(caller, 'node-b', Buffer.alloc(bytes)), ResultCode.FrameTooLarge);
  }
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.Ok);
});

test('calls in flight have a bound, and end as lost when the link goes', async (context) => {
  const caller = await startNode(context, 'node-a', { maxInFlight: 2 });
  const server = await startNode(context, 'node-b');
  let entered = 0;
  const bothEntered = new Promise<void>((resolve) => {
    server.network.handle(
      'configFetch',
      (body) => Result.ok(body as { after: number }),
      () => {
        entered += 1;
        if (entered === 2) resolve();
        return new Promise(() => {});
      },
    );
  });
  caller.network.setAddress('node-b', server.network.localAddress);
  const calls = [fetchCode(caller, 'node-b'), fetchCode(caller, 'node-b')];
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.MailboxFull);
  await bothEntered;
  await server.network.close();
  assert.deepEqual(await Promise.all(calls), [ResultCode.PeerLost, ResultCode.PeerLost]);
});

test('a refused connection is tried again only after a pause', async (context) => {
  const caller = await startNode(context, 'node-a');
  const server = await startNode(context, 'node-b');
  serveEcho(server);
  const { localAddress } = server.network;
  await server.network.close();
  caller.network.setAddress('node-b', localAddress);
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.PeerUnreachable);
  const waiting = await caller.network.call(
    'node-b',
    'configFetch',
    { after: 1 },
    { timeoutMs: 1_000 },
  );
  const pauseMs = waiting.isErr ? waiting.error.retryAfterMs : undefined;
  assert.ok(pauseMs !== undefined && pauseMs > 0 && pauseMs <= 75, `pause of ${pauseMs} ms`);
});

test('an idle link is closed and opened again on demand', async (context) => {
  const clock = new ManualClock();
  const caller = await startNode(context, 'node-a', { clock });
  const server = await startNode(context, 'node-b', { clock });
  serveEcho(server);
  caller.network.setAddress('node-b', server.network.localAddress);
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.Ok);
  clock.advance(2 * IDLE_CLOSE_MS);
  await caller.log.waitFor(Event.PeerDisconnected);
  await server.log.waitFor(Event.PeerDisconnected);
  assert.equal(caller.network.linkCount + server.network.linkCount, 0);
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.Ok);
});

test('a planned stop ends what runs and tells which calls were not handled', async (context) => {
  const caller = await startNode(context, 'node-a');
  const server = await startNode(context, 'node-b');
  const handled: number[] = [];
  let finish = (): void => {};
  let markEntered = (): void => {};
  const entered = new Promise<void>((resolve) => (markEntered = resolve));
  server.network.handle(
    'configFetch',
    (body) => Result.ok(body as { after: number }),
    async (_from, { after }) => {
      handled.push(after);
      markEntered();
      await new Promise<void>((resolve) => (finish = resolve));
      return Result.ok({ records: [], version: after });
    },
  );
  caller.network.setAddress('node-b', server.network.localAddress);
  const running = fetchCode(caller, 'node-b', 1);
  await entered;
  const retired = server.network.retire();
  // On its way before the caller can have read that the node stops.
  const crossing = await caller.network.call(
    'node-b',
    'configFetch',
    { after: 2 },
    { timeoutMs: 1_000 },
  );
  assert.equal(crossing.isErr && crossing.error.code, ResultCode.PeerUnreachable);
  assert.equal(crossing.isErr && crossing.error.execution, 'not-run');
  assert.equal(await fetchCode(caller, 'node-b', 3), ResultCode.PeerUnreachable);
  finish();
  assert.equal(await running, ResultCode.Ok);
  await retired;
  assert.deepEqual(handled, [1]);
});

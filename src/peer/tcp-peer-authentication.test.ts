/** Unauthenticated clients, malformed bytes and wrong keys on the port of the links. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { test, type TestContext } from 'node:test';
import { serialize } from 'bson';
import { ResultCode } from '../core/result-code.js';
import { ManualClock } from '../kernel/clock.js';
import { Event } from '../kernel/event.js';
import { createHelloFrame, createNonce, createProof, createProofFrame } from './handshake.js';
import {
  KEY,
  MAX_FRAME_BYTES,
  startNode,
  serveEcho,
  fetchCode,
  encode,
  openRaw,
} from '../../test/support/tcp-peer-nodes.js';

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
  test(`${name} from an unauthenticated client closes only its own link`, async (context) => {
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
  'a reply without a call': {
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

test('a client that sends nothing is closed when the handshake takes too long', async (context) => {
  const server = await startNode(context, 'node-b');
  const raw = openRaw(context, server);
  await once(raw.socket, 'connect');
  while (server.network.linkCount === 0) await new Promise((resolve) => setImmediate(resolve));
  server.clock.advance(3_000);
  await raw.closed;
  await server.log.waitFor(Event.PeerRejected);
});

test('nodes with different keys reject each other before any call is sent', async (context) => {
  const caller = await startNode(context, 'node-a');
  const server = await startNode(context, 'node-b', { sharedKey: 'another shared key' });
  serveEcho(server);
  caller.network.setAddress('node-b', server.network.localAddress);
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.PeerUnreachable);
  await caller.log.waitFor(Event.PeerRejected);
});

test('another node at the address is rejected', async (context) => {
  const caller = await startNode(context, 'node-a');
  const server = await startNode(context, 'node-c');
  caller.network.setAddress('node-b', server.network.localAddress);
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.PeerUnreachable);
  await caller.log.waitFor(Event.PeerRejected);
});

/** Starts a server without the key that sends back its input or a fixed answer. */
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

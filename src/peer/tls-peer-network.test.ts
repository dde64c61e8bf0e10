/** Links with TLS: which peers are accepted, and that a rejected one does not affect others. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { test, type TestContext } from 'node:test';
import { connect as connectTls } from 'node:tls';
import { Result } from 'true-myth';
import { splitAddress } from '../core/host-and-port.js';
import type { MutualTls } from '../config/tls-settings.js';
import { createRandom } from '../core/random.js';
import { ResultCode } from '../core/result-code.js';
import { ManualClock } from '../kernel/clock.js';
import { Event } from '../kernel/event.js';
import { OTHER_CA_TLS, TEST_TLS } from '../../test/support/test-certificates.js';
import { TcpPeerNetwork } from './tcp-peer-network.js';

interface Node {
  readonly network: TcpPeerNetwork;
  readonly calls: string[];
  /** Resolves when this node has rejected a peer or a frame. */
  readonly rejected: Promise<string>;
}

interface NodeOptions {
  readonly tls?: MutualTls | undefined;
  readonly sharedKey?: string;
}

async function startNode(
  context: TestContext,
  node: string,
  { tls, sharedKey = 'a key of the TLS tests' }: NodeOptions,
): Promise<Node> {
  const calls: string[] = [];
  let onRejected: (detail: string) => void = () => {};
  const rejected = new Promise<string>((resolve) => {
    onRejected = resolve;
  });
  const network = new TcpPeerNetwork({
    node,
    address: '127.0.0.1:0',
    sharedKey,
    tls,
    maxUnauthenticated: 512,
    limits: {
      maxFrameBytes: 2_000_000,
      maxInFlight: 10,
      maxMailboxLength: 100,
      maxWriteBacklogBytes: 4_000_000,
    },
    clock: new ManualClock(),
    log: {
      emit: (event, { code, detail } = {}) => {
        if (event === Event.PeerRejected || event === Event.FrameRejected) {
          onRejected(`${Event[event]} ${ResultCode[Number(code)]} ${detail}`);
        }
      },
    },
    random: createRandom(1),
  });
  network.handle(
    'configFetch',
    (body) => Result.ok(body as { after: number }),
    (from, { after }) => {
      calls.push(from);
      return Promise.resolve(Result.ok({ records: [], version: after }));
    },
  );
  await network.listen();
  context.after(() => network.close());
  return { network, calls, rejected };
}

async function call({ network }: Node, server: Node, request: object = {}): Promise<string> {
  network.setAddress('server', server.network.localAddress);
  const body = { after: 1, ...request };
  const reply = await network.call('server', 'configFetch', body, { timeoutMs: 1_000 });
  return ResultCode[reply.isErr ? reply.error.code : ResultCode.Ok];
}

async function assertServes(context: TestContext, server: Node, tls?: MutualTls): Promise<void> {
  const otherNode = await startNode(context, 'friend', { tls });
  assert.equal(await call(otherNode, server), 'Ok');
}

/** Has a certificate of another authority, but trusts the fleet's. */
const IMPOSTOR_TLS = { ...OTHER_CA_TLS, ca: TEST_TLS.ca };

interface Case {
  readonly name: string;
  readonly client: NodeOptions;
  readonly server: NodeOptions;
  /** Expected events of the server and of the client; undefined when none is checked. */
  readonly rejections: readonly [RegExp | undefined, RegExp | undefined];
}

const CASES: readonly Case[] = [
  {
    name: 'a client that trusts another authority',
    client: { tls: OTHER_CA_TLS },
    server: { tls: TEST_TLS },
    rejections: [undefined, /^PeerRejected PeerUnauthenticated TLS: /],
  },
  {
    name: "a client whose certificate is another authority's",
    client: { tls: IMPOSTOR_TLS },
    server: { tls: TEST_TLS },
    rejections: [/^PeerRejected PeerUnauthenticated TLS: /, undefined],
  },
  {
    name: "a server whose certificate is another authority's",
    client: { tls: TEST_TLS },
    server: { tls: IMPOSTOR_TLS },
    rejections: [undefined, /^PeerRejected PeerUnauthenticated TLS: /],
  },
  {
    name: 'a plain client on a TLS port',
    client: {},
    server: { tls: TEST_TLS },
    rejections: [/^PeerRejected PeerUnauthenticated TLS: ERR_SSL_/, undefined],
  },
  {
    name: 'a TLS client on a plain port',
    client: { tls: TEST_TLS },
    server: {},
    rejections: [/^FrameRejected /, /^PeerRejected PeerUnauthenticated TLS: /],
  },
  {
    name: 'the right certificate and another shared key',
    client: { tls: TEST_TLS, sharedKey: 'another shared key' },
    server: { tls: TEST_TLS },
    rejections: [undefined, /^PeerRejected PeerUnauthenticated wrong proof/],
  },
];

for (const { name, client, server, rejections } of CASES) {
  test(`rejected with an event, no call sent, others not affected: ${name}`, async (context) => {
    const serving = await startNode(context, 'server', server);
    const calling = await startNode(context, 'client', client);
    assert.equal(await call(calling, serving), 'PeerUnreachable');
    const [byServer, byClient] = rejections;
    if (byServer !== undefined) assert.match(await serving.rejected, byServer);
    if (byClient !== undefined) assert.match(await calling.rejected, byClient);
    assert.deepEqual(serving.calls, []);
    const otherTls = server.tls === IMPOSTOR_TLS ? undefined : server.tls;
    if (server.tls !== IMPOSTOR_TLS) await assertServes(context, serving, otherTls);
  });
}

test('nodes with certificates of the authority exchange calls, also in large frames', async (context) => {
  const server = await startNode(context, 'server', { tls: TEST_TLS });
  const client = await startNode(context, 'client', { tls: TEST_TLS });
  assert.equal(await call(client, server, { padding: 'x'.repeat(1_000_000) }), 'Ok');
  assert.deepEqual(server.calls, ['client']);
});

test('a client without certificate is refused before it sends a frame', async (context) => {
  const server = await startNode(context, 'server', { tls: TEST_TLS });
  const socket = connectTls({ ...splitAddress(server.network.localAddress), ca: TEST_TLS.ca });
  await assert.rejects(once(socket, 'close'), /certificate required/);
  assert.match(await server.rejected, /^PeerRejected PeerUnauthenticated TLS: /);
});

test('closing the node ends connections that send nothing in their TLS handshake', async (context) => {
  const server = await startNode(context, 'server', { tls: TEST_TLS });
  const socket = connect(splitAddress(server.network.localAddress));
  socket.on('error', () => {});
  await once(socket, 'connect');
  await assertServes(context, server, TEST_TLS);
  await Promise.all([once(socket, 'close'), server.network.close()]);
  // Closed by the node, not by the time limit of the handshake.
  assert.match(await server.rejected, /TLS: ECONNRESET$/);
});

/** Links and datagrams between nodes at different steps of a change of the shared key. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { Result } from 'true-myth';
import { createRandom } from '../core/random.js';
import { ResultCode } from '../core/result-code.js';
import { ManualClock } from '../kernel/clock.js';
import { silentEventLog } from '../kernel/event.js';
import { DatagramCodec } from '../membership/datagram-codec.js';
import { TcpPeerNetwork } from './tcp-peer-network.js';

const OLD = 'the old key of this test';
const NEW = 'the new key of this test';

interface Keys {
  readonly sharedKey: string;
  readonly previousSharedKeys: readonly string[];
}

/** The steps of docs/OPERATIONS.md; step 0 is before the change. */
const STEPS: readonly Keys[] = [
  { sharedKey: OLD, previousSharedKeys: [] },
  { sharedKey: OLD, previousSharedKeys: [NEW] },
  { sharedKey: NEW, previousSharedKeys: [OLD] },
  { sharedKey: NEW, previousSharedKeys: [] },
];

async function startNode(context: TestContext, node: string, keys: Keys): Promise<TcpPeerNetwork> {
  const network = new TcpPeerNetwork({
    ...keys,
    node,
    address: '127.0.0.1:0',
    maxUnauthenticated: 512,
    limits: {
      maxFrameBytes: 20_000,
      maxInFlight: 10,
      maxMailboxLength: 100,
      maxWriteBacklogBytes: 1_000_000,
    },
    clock: new ManualClock(),
    log: silentEventLog,
    random: createRandom(1),
  });
  await network.listen();
  context.after(() => network.close());
  return network;
}

async function callOver(context: TestContext, from: Keys, to: Keys): Promise<ResultCode> {
  const caller = await startNode(context, 'node-a', from);
  const server = await startNode(context, 'node-b', to);
  server.handle(
    'configFetch',
    (body) => Result.ok(body as { after: number }),
    (_from, { after }) => Promise.resolve(Result.ok({ records: [], version: after })),
  );
  caller.setAddress('node-b', server.localAddress);
  const reply = await caller.call('node-b', 'configFetch', { after: 1 }, { timeoutMs: 1_000 });
  return reply.isErr ? reply.error.code : ResultCode.Ok;
}

/** A caller that accepts the server's proof sends its call at once, so a refusal is `PeerLost`. */
function refusalOf(from: Keys, to: Keys): ResultCode {
  const acceptsServer = [from.sharedKey, ...from.previousSharedKeys].includes(to.sharedKey);
  return acceptsServer ? ResultCode.PeerLost : ResultCode.PeerUnreachable;
}

function createCodec({ sharedKey, previousSharedKeys }: Keys): DatagramCodec {
  return new DatagramCodec(sharedKey, previousSharedKeys);
}

const GOSSIP = {
  type: 'gossip',
  from: 'node-a',
  incarnation: 1,
  configVersion: 1,
  stateHash: 1,
  updates: [],
} as const;

for (const [step, from] of STEPS.entries()) {
  for (const [otherStep, to] of STEPS.entries()) {
    const isAccepted = Math.abs(step - otherStep) <= 1;
    const verb = isAccepted ? 'reaches' : 'does not reach';
    test(`a node at step ${step} ${verb} one at step ${otherStep}`, async (context) => {
      const code = await callOver(context, from, to);
      assert.equal(ResultCode[code], ResultCode[isAccepted ? ResultCode.Ok : refusalOf(from, to)]);
      const datagram = createCodec(from).encode(GOSSIP);
      const acceptedHere = [to.sharedKey, ...to.previousSharedKeys].includes(from.sharedKey);
      assert.equal(createCodec(to).decode(datagram) !== undefined, acceptedHere);
    });
  }
}

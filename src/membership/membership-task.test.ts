/** Membership over real sockets: joining, dissemination, leaving and invalid datagrams. */
import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { test, type TestContext } from 'node:test';
import { splitAddress } from '../core/host-and-port.js';
import type { MemberFacts } from '../core/member.js';
import { createRandom } from '../core/random.js';
import { systemClock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import { TcpPeerNetwork } from '../peer/tcp-peer-network.js';
import { DatagramCodec } from './datagram-codec.js';
import { MembershipTask } from './membership-task.js';

const KEY = 'a key of the membership tests';

interface Node {
  readonly id: string;
  readonly address: string;
  readonly membership: MembershipTask;
  readonly events: Event[];
}

async function startNode(
  context: TestContext,
  id: string,
  options: {
    seeds?: string[];
    sharedKey?: string;
    previousSharedKeys?: string[];
    fronts?: string[];
  } = {},
): Promise<Node> {
  const { seeds = [], sharedKey = KEY, previousSharedKeys = [], fronts = [] } = options;
  const events: Event[] = [];
  const log: EventLog = { emit: (event) => void events.push(event) };
  const network = new TcpPeerNetwork({
    node: id,
    address: '127.0.0.1:0',
    sharedKey,
    previousSharedKeys,
    maxUnauthenticated: 512,
    limits: {
      maxFrameBytes: 1_000_000,
      maxInFlight: 100,
      maxMailboxLength: 1_000,
      maxWriteBacklogBytes: 1_000_000,
    },
    clock: systemClock,
    log,
    random: createRandom(1),
  });
  await network.listen();
  const address = network.localAddress;
  const facts: MemberFacts = {
    nodeId: id,
    incarnation: 1,
    sequence: 0,
    zone: 'zone-a',
    region: 'region-a',
    peerAddress: address,
    entryAddress: '127.0.0.1:1',
    adminAddress: '127.0.0.1:2',
    fronts,
    leavingTargets: [],
    configVersion: 0,
    ready: false,
  };
  const membership = new MembershipTask({
    facts,
    seeds,
    sharedKey,
    previousSharedKeys,
    maxMailboxLength: 1_000,
    network,
    clock: systemClock,
    log,
    random: createRandom(id.charCodeAt(id.length - 1)),
  });
  await membership.start();
  context.after(async () => {
    membership.stop();
    await network.close();
  });
  return { id, address, membership, events };
}

async function startFleet(context: TestContext, count: number): Promise<Node[]> {
  const first = await startNode(context, 'node-1');
  const nodes = [first];
  for (let index = 2; index <= count; index += 1) {
    nodes.push(await startNode(context, `node-${index}`, { seeds: [first.address] }));
  }
  await Promise.all(
    nodes.map((node) => waitFor(node, () => node.membership.members().length === count)),
  );
  return nodes;
}

/** Waits until the condition holds after some change of the node's view. */
async function waitFor({ membership }: Node, condition: () => boolean): Promise<void> {
  if (condition()) return;
  await new Promise<void>((resolve) => {
    const unsubscribe = membership.subscribe(() => {
      if (!condition()) return;
      unsubscribe();
      resolve();
    });
  });
}

test('nodes that know one seed discover each other', async (context) => {
  const nodes = await startFleet(context, 5);
  for (const { membership } of nodes) {
    assert.deepEqual(
      membership.members().map(({ nodeId, state }) => `${nodeId} ${state}`),
      [1, 2, 3, 4, 5].map((index) => `node-${index} alive`),
    );
  }
});

test('changed facts and a planned stop reach all nodes', async (context) => {
  const nodes = await startFleet(context, 4);
  const [changing, ...others] = nodes as [Node, ...Node[]];
  const targets = ['target-1'];
  changing.membership.update({ ready: true, configVersion: 7, leavingTargets: targets });
  for (const node of others) {
    await waitFor(node, () => {
      const member = node.membership.find(changing.id);
      return member?.ready === true && member.configVersion === 7;
    });
    assert.deepEqual(node.membership.find(changing.id)?.leavingTargets, targets);
  }
  await changing.membership.leave();
  for (const node of others) {
    await waitFor(node, () => node.membership.find(changing.id)?.state === 'leaving');
    assert.equal(node.membership.find(changing.id)?.ready, false);
  }
});

test('facts too large for a datagram are fetched over the link', async (context) => {
  const first = await startNode(context, 'node-1');
  const second = await startNode(context, 'node-2', { seeds: [first.address] });
  await waitFor(first, () => first.membership.members().length === 2);
  const fronts = Array.from({ length: 500 }, (_, index) => `target-${index}`);
  second.membership.update({ fronts });
  await waitFor(first, () => first.membership.find('node-2')?.fronts.length === 500);
});

const INVALID_DATAGRAMS: Record<string, Buffer> = {
  'an empty datagram': Buffer.alloc(0),
  'zero bytes': Buffer.alloc(64),
  text: Buffer.from('GET / HTTP/1.1\r\n\r\n'),
  'a datagram above the limit': Buffer.alloc(1_401, 1),
  'a message with another key': new DatagramCodec('another shared key').encode({
    type: 'gossip',
    from: 'stranger',
    incarnation: 1,
    configVersion: 1,
    stateHash: 1,
    updates: [{ type: 'failed', nodeId: 'node-2', incarnation: 1, sequence: 9 }],
  }),
};

test('invalid datagrams are dropped with an event and change nothing', async (context) => {
  const nodes = await startFleet(context, 2);
  const [first] = nodes as [Node, Node];
  const socket = createSocket('udp4');
  context.after(() => socket.close());
  const { host, port } = splitAddress(first.address);
  for (const datagram of Object.values(INVALID_DATAGRAMS)) {
    await new Promise<void>((resolve) => {
      socket.send(datagram, port, host, () => {
        resolve();
      });
    });
  }
  first.membership.update({ configVersion: 3 });
  const [, second] = nodes as [Node, Node];
  await waitFor(second, () => second.membership.find('node-1')?.configVersion === 3);
  assert.ok(first.events.includes(Event.FrameRejected));
  assert.deepEqual(
    first.membership.members().map(({ nodeId, state }) => `${nodeId} ${state}`),
    ['node-1 alive', 'node-2 alive'],
  );
});

test('a node with another key cannot join', async (context) => {
  const first = await startNode(context, 'node-1');
  const nodeWithOtherKey = await startNode(context, 'node-2', {
    seeds: [first.address],
    sharedKey: 'another shared key',
  });
  const nodeWithSameKey = await startNode(context, 'node-3', { seeds: [first.address] });
  await waitFor(nodeWithSameKey, () => nodeWithSameKey.membership.members().length === 2);
  assert.equal(nodeWithOtherKey.membership.members().length, 1);
  assert.equal(first.membership.find('node-2'), undefined);
});

test('a fleet does not split while half of its nodes sign with the next key', async (context) => {
  const next = 'the next key of the membership tests';
  const before = { sharedKey: KEY, previousSharedKeys: [next] };
  const after = { sharedKey: next, previousSharedKeys: [KEY] };
  const first = await startNode(context, 'node-1', before);
  const seeds = [first.address];
  const nodes = [first];
  for (const [index, keys] of [after, before, after].entries()) {
    nodes.push(await startNode(context, `node-${index + 2}`, { ...keys, seeds }));
  }
  for (const node of nodes) await waitFor(node, () => node.membership.members().length === 4);
  // More than fits into a datagram, so that the facts are fetched over links.
  const fronts = Array.from({ length: 500 }, (_, index) => `target-${index}`);
  for (const [index, node] of nodes.entries()) {
    node.membership.update({ configVersion: index + 1, fronts });
  }
  for (const node of nodes) {
    for (const [index, { id }] of nodes.entries()) {
      await waitFor(node, () => {
        const member = node.membership.find(id);
        return member?.configVersion === index + 1 && member.fronts.length === 500;
      });
    }
    assert.ok(!node.events.includes(Event.FrameRejected));
    assert.ok(!node.events.includes(Event.PeerRejected));
  }
});

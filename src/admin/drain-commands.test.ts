import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TargetAdministration } from '../target/target-administration.js';
import { ResultCode } from '../core/result-code.js';
import { ManualClock } from '../kernel/clock.js';
import { InMemoryPeerHub } from '../../test/support/in-memory-peer-network.js';
import {
  createMember,
  createRulesDocument,
  createTestNode,
  createTestSettings,
} from '../../test/support/test-admin.js';
import { DrainCommands } from './drain-commands.js';

/** Creates node a1, which receives the commands, and node b1 in zone-b, which fronts guide-2. */
async function createPair() {
  const hub = new InMemoryPeerHub(new ManualClock());
  const drained: string[] = [];
  const fronting: TargetAdministration = {
    drainTarget: (target, on) => {
      drained.push(`${target} ${on}`);
      return target === 'guide-2';
    },
  };
  const network = hub.createNetwork('a1');
  network.setAddress('b1', 'in memory');
  const receiver = createTestNode({ peers: network });
  await receiver.repository.apply({
    tenant: 'roteiro-vivo',
    document: createRulesDocument(),
    expectedRevision: 0,
    operationId: 'op-1',
    author: 'ana',
  });
  const settings = createTestSettings();
  const other = createTestNode({
    settings: { ...settings, node: { ...settings.node, id: 'b1', zone: 'zone-b' } },
    peers: hub.createNetwork('b1'),
    targets: fronting,
  });
  new DrainCommands(other.node).registerHandlers();
  return { hub, receiver, other, drained, commands: new DrainCommands(receiver.node) };
}

test('a drain of a target goes only to the node that fronts it', async () => {
  const { commands, drained, receiver } = await createPair();
  assert.ok((await commands.drainTarget({ target: 'guide-2', drained: true })).isOk);
  assert.ok((await commands.drainTarget({ target: 'guide-2', drained: false })).isOk);
  assert.deepEqual(drained, ['guide-2 true', 'guide-2 false']);
  assert.deepEqual(receiver.drained, []);
});

test('a node fronts the targets that its settings name', async () => {
  const { commands, drained, receiver } = await createPair();
  receiver.membership.others = [createMember('b1', 'zone-b', { fronts: ['guide-1'] })];
  const outcome = await commands.drainTarget({ target: 'guide-1', drained: true });
  assert.deepEqual(drained, ['guide-1 true']);
  assert.equal(outcome.isErr && outcome.error.code, ResultCode.PeerUnreachable);
});

test('a drain fails when the fronting node is gone', async () => {
  const { commands, hub } = await createPair();
  hub.remove('b1');
  const outcome = await commands.drainTarget({ target: 'guide-2', drained: true });
  assert.equal(outcome.isErr && outcome.error.code, ResultCode.PeerUnreachable);
});

test('a drain of another node starts the planned stop of that node only', async () => {
  const { commands, receiver, other } = await createPair();
  assert.equal((await commands.drainNode('b1')).unwrapOr(''), 'b1');
  assert.deepEqual([receiver.stops.count, other.stops.count], [0, 1]);
});

const MALFORMED: readonly unknown[] = [
  { target: 5, drained: true },
  { target: 'guide-2' },
  { target: 'x', drained: true, more: 1 },
  'text',
];
for (const body of MALFORMED) {
  test(`a malformed message is rejected: ${JSON.stringify(body)}`, async () => {
    const { receiver, drained } = await createPair();
    const reply = await receiver.node.peers?.call('b1', 'drainTarget', body as never, {
      timeoutMs: 1,
    });
    assert.equal(reply?.isErr === true && reply.error.code, ResultCode.FrameMalformed);
    assert.deepEqual(drained, []);
  });
}

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

/** Node a1, which is asked, and node b1 in zone-b, which fronts guide-2. */
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
  const asked = createTestNode({ peers: network });
  await asked.repository.apply({
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
  return { hub, asked, other, drained, commands: new DrainCommands(asked.node) };
}

test('a drain of a target goes to the node that fronts it, and there only', async () => {
  const { commands, drained, asked } = await createPair();
  assert.ok((await commands.drainTarget({ target: 'guide-2', drained: true })).isOk);
  assert.ok((await commands.drainTarget({ target: 'guide-2', drained: false })).isOk);
  assert.deepEqual(drained, ['guide-2 true', 'guide-2 false']);
  assert.deepEqual(asked.drained, []);
});

test('the settings of a node decide who fronts a target', async () => {
  const { commands, drained, asked } = await createPair();
  asked.membership.others = [createMember('b1', 'zone-b', { fronts: ['guide-1'] })];
  const outcome = await commands.drainTarget({ target: 'guide-1', drained: true });
  assert.deepEqual(drained, ['guide-1 true']);
  assert.equal(outcome.isErr && outcome.error.code, ResultCode.PeerUnreachable);
});

test('a fronting node that is gone fails the command', async () => {
  const { commands, hub } = await createPair();
  hub.remove('b1');
  const outcome = await commands.drainTarget({ target: 'guide-2', drained: true });
  assert.equal(outcome.isErr && outcome.error.code, ResultCode.PeerUnreachable);
});

test('a drain of another node starts its planned stop and not that of the asked one', async () => {
  const { commands, asked, other } = await createPair();
  assert.equal((await commands.drainNode('b1')).unwrapOr(''), 'b1');
  assert.deepEqual([asked.stops.count, other.stops.count], [0, 1]);
});

const FOREIGN: readonly unknown[] = [
  { target: 5, drained: true },
  { target: 'guide-2' },
  { target: 'x', drained: true, more: 1 },
  'text',
];
for (const body of FOREIGN) {
  test(`a foreign message is refused: ${JSON.stringify(body)}`, async () => {
    const { asked, drained } = await createPair();
    const reply = await asked.node.peers?.call('b1', 'drainTarget', body as never, {
      timeoutMs: 1,
    });
    assert.equal(reply?.isErr === true && reply.error.code, ResultCode.FrameMalformed);
    assert.deepEqual(drained, []);
  });
}

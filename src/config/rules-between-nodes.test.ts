/** Three nodes with the real plug-ins over loopback and the platform stand-in. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import '../membership/membership-plugin.js';
import '../peer/peer-plugin.js';
import '../etcd/platform-plugin.js';
import './config-plugin.js';
import { systemClock } from '../kernel/clock.js';
import { silentEventLog } from '../kernel/event.js';
import { Kernel } from '../kernel/kernel.js';
import { listPlugins } from '../kernel/plugin.js';
import { Token } from '../kernel/token.js';
import {
  startPlatformStandIn,
  type PlatformStandIn,
} from '../stand-ins/platform/platform-stand-in.js';
import { findFreePorts } from '../trials/free-ports.js';
import { createSampleRules } from '../../test/support/sample-rules.js';
import { validateSettings } from './settings.js';

const TEST_TIMEOUT_MS = 30_000;
/** Long, so that a busy machine does not look like an outage. */
const EXCHANGE_TIMEOUT_MS = 5_000;
const PLUGINS = ['peer', 'membership', 'platform', 'config'];

async function startNode(id: string, zone: string, platform: PlatformStandIn): Promise<Kernel> {
  const [peer] = await findFreePorts(1);
  const url = `http://127.0.0.1:${platform.port}`;
  const settings = validateSettings({
    node: { id, zone, region: 'region' },
    listen: { entry: '127.0.0.1:1', admin: '127.0.0.1:1', peer: `127.0.0.1:${peer}` },
    platform: { keyValue: [url], machines: `${url}/machines`, timeoutMs: EXCHANGE_TIMEOUT_MS },
    peers: { sharedKey: '0123456789abcdef', seeds: seedsOf() },
    admin: { token: 'operator-token' },
  });
  assert.ok(settings.isOk);
  const plugins = listPlugins().filter(({ name }) => PLUGINS.includes(name));
  const log = silentEventLog;
  const kernel = new Kernel({ settings: settings.value, clock: systemClock, log, plugins });
  await kernel.start();
  running.push(kernel);
  return kernel;
}

const running: Kernel[] = [];

function seedsOf(): string[] {
  return running.map((kernel) => kernel.container.get(Token.Settings).listen.peer);
}

/** Waits until the node is ready with at least this revision in force. */
async function waitUntilInForce(kernel: Kernel, revision: number): Promise<void> {
  const store = kernel.container.get(Token.ConfigStore);
  const membership = kernel.container.get(Token.Membership);
  const isInForce = () =>
    membership.self().ready && (store.find('recife')?.revision ?? 0) >= revision;
  while (!isInForce()) await new Promise((resolve) => setTimeout(resolve, 10));
}

test(
  'rules reach every node, and a replacement during an outage',
  { timeout: TEST_TIMEOUT_MS },
  async () => {
    const platform = await startPlatformStandIn({ host: '127.0.0.1', port: 0, seed: 1 });
    const first = await startNode('a1', 'zone-a', platform);
    const second = await startNode('a2', 'zone-a', platform);
    const third = await startNode('b1', 'zone-b', platform);
    try {
      await platform.control({ loseNextAnswers: 1 });
      const applied = await first.container.get(Token.RulesRepository).apply({
        tenant: 'recife',
        document: createSampleRules({ tenant: 'recife' }),
        expectedRevision: 0,
        operationId: 'op-1',
        author: 'ana',
      });
      assert.ok(applied.isOk, JSON.stringify(applied));
      assert.equal(applied.value.revision, 1);
      for (const kernel of [first, second, third]) await waitUntilInForce(kernel, 1);
      await platform.control({ outage: 'refuse' });
      await second.stop();
      const replacement = await startNode('a3', 'zone-a', platform);
      await waitUntilInForce(replacement, 1);
    } finally {
      for (const kernel of running) await kernel.stop();
      await platform.close();
    }
  },
);

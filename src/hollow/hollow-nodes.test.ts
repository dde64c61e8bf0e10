import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startPlatformStandIn } from '../stand-ins/platform/platform-stand-in.js';
import { findFreePorts } from '../trials/free-ports.js';
import { poll } from '../trials/http-json.js';
import { HollowNodes } from './hollow-nodes.js';
import { createHollowSettings } from './hollow-settings.js';

const TIMEOUT_MS = 30_000;

test(
  'hollow nodes run every control part and see each other',
  { timeout: TIMEOUT_MS },
  async () => {
    const platform = await startPlatformStandIn({ host: '127.0.0.1', port: 0, seed: 1 });
    const nodes = new HollowNodes();
    try {
      const ports = await findFreePorts(3);
      const settings = ports.map((firstPort, number) =>
        createHollowSettings(
          {
            total: 1,
            zones: 3,
            regions: 2,
            firstPort: firstPort - number,
            platform: `http://127.0.0.1:${platform.port}`,
          },
          number,
        ),
      );
      const seeds = ports.map((port) => `127.0.0.1:${port}`);
      const joined = settings.map((one) => ({ ...one, peers: { ...one.peers, seeds } }));
      await nodes.start(joined);
      await poll('all see all', TIMEOUT_MS, () =>
        Promise.resolve(nodes.report().smallestView === 3),
      );
      assert.equal(nodes.report().nodes, 3);
      assert.ok(nodes.report().udpBytes > 0);
      // Views fill by datagrams alone; what goes over links may come after that.
      await poll('bytes over links', TIMEOUT_MS, () =>
        Promise.resolve(nodes.report().tcpBytes > 0),
      );
    } finally {
      await nodes.stop();
      await platform.close();
    }
  },
);

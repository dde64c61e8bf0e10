/** Nodes with the real entry side and target side; everything else is in memory. */
import type { Container } from 'inversify';
import { InMemoryConfigStore } from '../../src/config/in-memory-config-store.js';
import { parseRules, type Rules } from '../../src/config/rules.js';
import { validateSettings, type Settings } from '../../src/config/settings.js';
import '../../src/entry/entry-plugin.js';
import { systemClock } from '../../src/kernel/clock.js';
import { silentEventLog } from '../../src/kernel/event.js';
import { Kernel } from '../../src/kernel/kernel.js';
import { EventLoopDelay } from '../../src/kernel/event-loop-delay.js';
import { createMetrics } from '../../src/kernel/metrics.js';
import { StartOrder, listPlugins, type Plugin } from '../../src/kernel/plugin.js';
import { Token } from '../../src/kernel/token.js';
import { LeavingTargets } from '../../src/membership/leaving-targets.js';
import type { Member } from '../../src/membership/membership.js';
import '../../src/target/target-plugin.js';
import { FakeClaimService, FakeFleet, FakeMembership, FakePeerNetwork } from './fake-services.js';
import { findFreePort } from '../../src/trials/free-ports.js';
import { PLAIN_POLICY } from './plain-policy.js';

const ZONE = 'zone-a';

/** One running node. */
export interface DataPathNode {
  readonly id: string;
  readonly entryPort: number;
  readonly container: Container;
  readonly kernel: Kernel;
  readonly peers: FakePeerNetwork;
}

/** A fleet of nodes in this process. */
export class DataPathFleet {
  readonly fleet = new FakeFleet();
  readonly config = new InMemoryConfigStore();
  readonly claims = new FakeClaimService(systemClock);
  private readonly nodes: DataPathNode[] = [];
  private revision = 0;

  /** Puts rules in force at all nodes. */
  apply(rules: unknown): void {
    this.revision += 1;
    this.config.offer({
      tenant: 'test',
      revision: this.revision,
      version: this.revision,
      operationId: String(this.revision),
      author: 'test',
      acceptedAtMs: 0,
      rules: requireRules(rules),
    });
  }

  /** Starts a node that fronts the given targets. */
  async start(id: string, fronts: readonly string[] = [], change = {}): Promise<DataPathNode> {
    const entryPort = await findFreePort();
    const settings = createSettings(id, entryPort, fronts, change);
    const peers = new FakePeerNetwork(this.fleet, id);
    const membership = new FakeMembership(this.fleet, createMember(settings));
    const fakes: Plugin = {
      name: 'fakes',
      order: StartOrder.Peer,
      bind: (container) => {
        container.bind(Token.Metrics).toConstantValue(createMetrics(false));
        container
          .bind(Token.EventLoopDelay)
          .toConstantValue(new EventLoopDelay(container.get(Token.Clock)));
        container.bind(Token.PeerNetwork).toConstantValue(peers);
        container.bind(Token.Membership).toConstantValue(membership);
        container.bind(Token.LeavingTargets).toConstantValue(new LeavingTargets(membership));
        container.bind(Token.ConfigStore).toConstantValue(this.config);
        container.bind(Token.ClaimService).toConstantValue(this.claims);
      },
    };
    const plugins = listPlugins().filter(({ name }) => name === 'target' || name === 'entry');
    const kernel = new Kernel({
      settings,
      clock: systemClock,
      log: silentEventLog,
      plugins: [fakes, ...plugins],
    });
    await kernel.start();
    const node = { id, entryPort, container: kernel.container, kernel, peers };
    this.nodes.push(node);
    return node;
  }

  /** Stops all nodes immediately, without a drain. */
  async stop(): Promise<void> {
    for (const { kernel } of this.nodes) await kernel.stop();
  }
}

function requireRules(value: unknown): Rules {
  const rules = parseRules(JSON.stringify(value));
  if (rules.isErr) throw new Error(JSON.stringify(rules.error));
  return rules.value;
}

function createSettings(
  id: string,
  entryPort: number,
  fronts: readonly string[],
  change: object,
): Settings {
  const settings = validateSettings({
    node: { id, zone: ZONE, region: 'region-a', fronts },
    listen: { entry: `127.0.0.1:${entryPort}`, admin: '127.0.0.1:1', peer: '127.0.0.1:2' },
    platform: { keyValue: ['http://127.0.0.1:3'], machines: 'http://127.0.0.1:3/machines' },
    peers: { sharedKey: 'a shared key for tests' },
    admin: { token: 'test-token' },
    overload: { policy: PLAIN_POLICY },
    ...change,
  });
  if (settings.isErr) throw new Error(JSON.stringify(settings.error));
  return settings.value;
}

function createMember(settings: Settings): Member {
  return {
    nodeId: settings.node.id,
    incarnation: 1,
    sequence: 1,
    zone: settings.node.zone,
    region: settings.node.region,
    peerAddress: settings.listen.peer,
    entryAddress: settings.listen.entry,
    adminAddress: settings.listen.admin,
    fronts: settings.node.fronts,
    leavingTargets: [],
    configVersion: 0,
    ready: false,
    state: 'alive',
  };
}

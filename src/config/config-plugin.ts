/** Plug-in: the rules in force, their repository and their distribution. */
import { combineHashes, hash32 } from '../core/hash.js';
import type { Metrics } from '../kernel/metrics.js';
import { registerPlugin, StartOrder } from '../kernel/plugin.js';
import { createToken, Token } from '../kernel/token.js';
import { ConfigDistribution } from './config-distribution.js';
import type { ConfigStore } from './config-store.js';
import { InMemoryConfigStore } from './in-memory-config-store.js';
import { PlatformRulesRepository } from './platform-rules-repository.js';

const DISTRIBUTION = createToken<ConfigDistribution>('ConfigDistribution');

/** Longest wait for another node to have this node's rules at a planned stop. */
const REPLICATION_WAIT_LIMIT_MS = 3_000;

registerPlugin({
  name: 'config',
  order: StartOrder.Configuration,
  bind(container) {
    container.bind(Token.ConfigStore).toDynamicValue(() => new InMemoryConfigStore());
    container.bind(DISTRIBUTION).toDynamicValue((context) => {
      const clock = context.get(Token.Clock);
      const { id } = context.get(Token.Settings).node;
      return new ConfigDistribution({
        store: context.get(Token.ConfigStore),
        platform: context.get(Token.PlatformClient),
        membership: context.get(Token.Membership),
        network: context.get(Token.PeerNetwork),
        clock,
        log: context.get(Token.EventLog),
        seed: combineHashes(hash32(`${id} rules`), clock.wallNow()),
      });
    });
    container.bind(Token.RulesRepository).toDynamicValue((context) => {
      const clock = context.get(Token.Clock);
      const { id } = context.get(Token.Settings).node;
      const distribution = context.get(DISTRIBUTION);
      return new PlatformRulesRepository({
        platform: context.get(Token.PlatformClient),
        clock,
        log: context.get(Token.EventLog),
        seed: combineHashes(hash32(`${id} changes`), clock.wallNow()),
        onSnapshot: (records) => {
          distribution.acceptSnapshot(records);
        },
      });
    });
  },
  start(container) {
    if (container.isBound(Token.Metrics)) {
      exportRevisions(container.get(Token.ConfigStore), container.get(Token.Metrics));
    }
    container.get(DISTRIBUTION).start();
    return Promise.resolve();
  },
  async drain(container) {
    await container.get(DISTRIBUTION).waitForReplication(REPLICATION_WAIT_LIMIT_MS);
  },
  stop(container) {
    container.get(DISTRIBUTION).stop();
    return Promise.resolve();
  },
});

/** Updates the gauge of each tenant's revision in force. */
function exportRevisions(store: ConfigStore, metrics: Metrics): void {
  store.subscribe(() => {
    for (const { tenant, revision } of store.records()) {
      metrics.rulesRevision.set({ tenant }, revision);
    }
  });
}

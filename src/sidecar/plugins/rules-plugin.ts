/** Plug-in of the routing rules. */
import { createRandom } from '../../core/random.js';
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { waitForChangesMs } from '../directory/watch-timing.js';
import { PrefixWatch } from '../directory/prefix-watch.js';
import { PeerRulesFetch } from '../rules/peer-rules-fetch.js';
import { RulesKeeper } from '../rules/rules-keeper.js';
import { seedOf } from '../seed.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

/** Wait of one call for changes in a small fleet, in milliseconds. */
const MIN_WAIT_MS = 5_000;

registerPlugin(
  {
    name: 'rules',
    order: SidecarOrder.Rules,
    bind: (container) => {
      container.bind(SidecarToken.Rules).toDynamicValue(({ get }) => {
        const adapter = get(SidecarToken.Adapter);
        return new RulesKeeper({
          log: get(Token.EventLog),
          parse: (document) => adapter.parseRules(document),
          onChanged: (rules) => {
            get(SidecarToken.Listener).setLimits(rules.limits);
            get(SidecarToken.LinkServer).announceStatus();
            get(SidecarToken.Directory).announceStatus();
          },
        });
      });
      container.bind(SidecarToken.PeerRulesFetch).toDynamicValue(
        ({ get }) =>
          new PeerRulesFetch({
            clock: get(Token.Clock),
            currentVersion: () => get(SidecarToken.Rules).version,
          }),
      );
      container.bind(SidecarToken.RulesWatch).toDynamicValue(({ get }) => {
        const rules = get(SidecarToken.Rules);
        const { rulesKey } = get(SidecarToken.Adapter);
        const offer = (key: string, value: Buffer): void => {
          if (key === rulesKey) rules.offer(value, 'store');
        };
        return new PrefixWatch({
          prefix: rulesKey,
          store: get(SidecarToken.Store),
          backoff: get(SidecarToken.StoreBackoff),
          eras: get(SidecarToken.StoreEras),
          clock: get(Token.Clock),
          log: get(Token.EventLog),
          random: createRandom(seedOf(`${get(SidecarToken.Settings).node.id} rules`)),
          waitMs: () => waitForChangesMs(get(SidecarToken.Directory).size, MIN_WAIT_MS),
          pauseAfterEventsMs: () => 0,
          onListing: (items) => {
            for (const { key, value } of items) offer(key, value);
          },
          onEvents: (events) => {
            for (const event of events) if (event.type === 'put') offer(event.key, event.value);
          },
        });
      });
    },
    start: (container) => {
      void container.get(SidecarToken.RulesWatch).run();
      return Promise.resolve();
    },
    stop: (container) => {
      container.get(SidecarToken.RulesWatch).close();
      container.get(SidecarToken.PeerRulesFetch).close();
      return Promise.resolve();
    },
  },
  'sidecar',
);

/** Plug-in of the routing rules. */
import { createRandom } from '../../core/random.js';
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { PrefixWatch } from '../directory/prefix-watch.js';
import { RulesKeeper } from '../rules/rules-keeper.js';
import { seedOf } from '../seed.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

/** Longest wait of one call for changes, in milliseconds. */
const WAIT_MS = 5_000;

let watch: PrefixWatch | undefined;

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
    },
    start: (container) => {
      const rules = container.get(SidecarToken.Rules);
      const { rulesKey } = container.get(SidecarToken.Adapter);
      const offer = (key: string, value: Buffer): void => {
        if (key === rulesKey) rules.offer(value, 'store');
      };
      watch = new PrefixWatch({
        prefix: rulesKey,
        store: container.get(SidecarToken.Store),
        clock: container.get(Token.Clock),
        log: container.get(Token.EventLog),
        random: createRandom(seedOf(`${container.get(SidecarToken.Settings).node.id} rules`)),
        waitMs: WAIT_MS,
        onListing: (items) => {
          for (const { key, value } of items) offer(key, value);
        },
        onEvents: (events) => {
          for (const event of events) if (event.type === 'put') offer(event.key, event.value);
        },
      });
      void watch.run();
      return Promise.resolve();
    },
    stop: () => {
      watch?.close();
      return Promise.resolve();
    },
  },
  'sidecar',
);

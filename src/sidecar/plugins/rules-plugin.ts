/** Plug-in for the routing rules. */
import type { ResolutionContext } from 'inversify';
import { createRandom } from '../../core/random.js';
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { waitForChangesMs } from '../directory/watch-timing.js';
import { PrefixWatch } from '../directory/prefix-watch.js';
import {
  confirmationRole,
  restFromWatchMs,
  type ConfirmationRole,
} from '../rules/confirmation-sources.js';
import { PeerRulesFetch } from '../rules/peer-rules-fetch.js';
import { FreshnessRefresher } from '../rules/freshness-refresher.js';
import { RulesFreshness } from '../rules/rules-freshness.js';
import { ActiveRules } from '../rules/active-rules.js';
import { seedOf } from '../seed.js';
import { RequestAuthorizer } from '../tenants/request-authorizer.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

/** Wait of one watch call in a small fleet, in milliseconds; confirmations bound what it can miss. */
const MIN_WAIT_MS = 10_000;
/** Part of the key revocation time that is reserved for the delay between a check and its use. */
const REVOCATION_MARGIN_MS = 300;

registerPlugin(
  {
    name: 'rules',
    order: SidecarOrder.Rules,
    bind: (container) => {
      container.bind(SidecarToken.Rules).toDynamicValue(({ get }) => {
        const adapter = get(SidecarToken.Adapter);
        return new ActiveRules({
          log: get(Token.EventLog),
          parse: (document) => adapter.parseRules(document),
          unconfirmedMs: () => get(SidecarToken.RulesFreshness).ageMs(),
          onChanged: (rules) => {
            get(SidecarToken.FreshnessRefresher).wake();
            get(SidecarToken.Listener).setLimits(rules.limits);
            get(SidecarToken.LinkServer).announceStatus();
            get(SidecarToken.Directory).announceStatus();
          },
        });
      });
      container.bind(SidecarToken.RulesFreshness).toDynamicValue(createFreshness);
      container.bind(SidecarToken.FreshnessRefresher).toDynamicValue(createRefresher);
      container.bind(SidecarToken.Authorizer).toDynamicValue(
        ({ get }) =>
          new RequestAuthorizer({
            table: () => get(SidecarToken.Rules).table,
            freshness: get(SidecarToken.RulesFreshness),
          }),
      );
      container.bind(SidecarToken.PeerRulesFetch).toDynamicValue(
        ({ get }) =>
          new PeerRulesFetch({
            clock: get(Token.Clock),
            currentVersion: () => get(SidecarToken.Rules).version,
          }),
      );
      container.bind(SidecarToken.RulesWatch).toDynamicValue((context) => {
        const { get } = context;
        const rules = get(SidecarToken.Rules);
        const { rulesKey } = get(SidecarToken.Adapter);
        const freshness = get(SidecarToken.RulesFreshness);
        let storeVersion: number | undefined;
        const offer = (key: string, value: Buffer): void => {
          if (key === rulesKey) storeVersion = rules.offer(value, 'store');
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
          restMs: () => {
            if (rules.table === undefined) return 0;
            return restFromWatchMs(roleOf(context), freshness.ageMs());
          },
          onListing: (items) => {
            for (const { key, value } of items) offer(key, value);
          },
          onEvents: (events) => {
            for (const event of events) if (event.type === 'put') offer(event.key, event.value);
          },
          onCurrent: (requestedAt) => {
            // An older version in the store comes from an older copy, which may also lack versions newer than ours.
            if (storeVersion === rules.version) freshness.confirm(storeVersion, requestedAt);
            get(SidecarToken.FreshnessRefresher).wake();
          },
        });
      });
    },
    start: (container) => {
      container.get(SidecarToken.StoreEras).onChange(() => {
        container.get(SidecarToken.RulesFreshness).reset();
        container.get(SidecarToken.FreshnessRefresher).wake();
      });
      void container.get(SidecarToken.RulesWatch).run();
      return Promise.resolve();
    },
    stop: (container) => {
      container.get(SidecarToken.RulesWatch).close();
      container.get(SidecarToken.PeerRulesFetch).close();
      container.get(SidecarToken.FreshnessRefresher).close();
      return Promise.resolve();
    },
  },
  'sidecar',
);

function createFreshness({ get }: ResolutionContext): RulesFreshness {
  const settings = get(SidecarToken.CurrentSettings);
  return new RulesFreshness({
    clock: get(Token.Clock),
    log: get(Token.EventLog),
    rulesVersion: () => get(SidecarToken.Rules).version,
    maxAgeMs: () => {
      const { keyRevocation, refuseUncheckedKeys } = settings.current.bounds;
      const isBound = refuseUncheckedKeys && typeof keyRevocation === 'number';
      return isBound ? keyRevocation - REVOCATION_MARGIN_MS : Infinity;
    },
  });
}

function roleOf({ get }: ResolutionContext): ConfirmationRole {
  const { id } = get(SidecarToken.Settings).node;
  const nodes = get(SidecarToken.Directory).reachableNodesOfRegion();
  return confirmationRole(id, nodes, refreshSpread(id));
}

function refreshSpread(node: string): number {
  return createRandom(seedOf(`${node} freshness`)).next();
}

function createRefresher(context: ResolutionContext): FreshnessRefresher {
  const { get } = context;
  return new FreshnessRefresher({
    clock: get(Token.Clock),
    freshness: get(SidecarToken.RulesFreshness),
    get refreshPosition() {
      return roleOf(context).position;
    },
    hasRules: () => get(SidecarToken.Rules).table !== undefined,
    isStoreAvailable: () => get(SidecarToken.RulesWatch).isAvailable,
    queryStore: () => get(SidecarToken.RulesWatch).check(),
    queryPeers: () => get(SidecarToken.Directory).requestConfirmationsOf(roleOf(context).sources),
  });
}

/** Plug-in for tenants' limits: counts requests for all nodes, and gets grants for this node's requests. */
import type { ResolutionContext } from 'inversify';
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { EarlyCounting } from '../quota/early-counting.js';
import { QuotaCounting } from '../quota/quota-counting.js';
import { TenantQuotas } from '../quota/tenant-quotas.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

registerPlugin(
  {
    name: 'quota',
    order: SidecarOrder.Quota,
    bind: (container) => {
      container.bind(SidecarToken.QuotaCounting).toDynamicValue(createCounting);
      container.bind(SidecarToken.EarlyCounting).toDynamicValue(createEarlyCounting);
      container.bind(SidecarToken.TenantQuotas).toDynamicValue(createQuotas);
    },
    start: (container) => {
      container.get(SidecarToken.StoreEras).onChange(() => {
        container.get(SidecarToken.QuotaCounting).onStoreEraChanged();
      });
      container.get(SidecarToken.EarlyCounting).start();
      return Promise.resolve();
    },
    // Stops counting while other nodes can still be reached, so that the next node queried takes over at once.
    drain: (container) => {
      container.get(SidecarToken.EarlyCounting).stop();
      return container.get(SidecarToken.QuotaCounting).close();
    },
    stop: async (container) => {
      container.get(SidecarToken.EarlyCounting).stop();
      container.get(SidecarToken.TenantQuotas).close();
      await container.get(SidecarToken.QuotaCounting).close();
    },
  },
  'sidecar',
);

function createCounting({ get }: ResolutionContext): QuotaCounting {
  return new QuotaCounting({
    node: get(SidecarToken.Settings).node.id,
    store: get(SidecarToken.Store),
    clock: get(Token.Clock),
    log: get(Token.EventLog),
    limitOf: (tenant) => {
      const known = get(SidecarToken.Rules).table?.tenants?.find(tenant);
      return known === undefined ? 'unknown' : known.limit;
    },
  });
}

function createEarlyCounting({ get }: ResolutionContext): EarlyCounting {
  return new EarlyCounting({
    node: get(SidecarToken.Settings).node.id,
    clock: get(Token.Clock),
    limitedTenants: () => {
      const { table } = get(SidecarToken.Rules);
      return table === undefined ? undefined : (table.tenants?.limited ?? []);
    },
    candidates: () => get(SidecarToken.Directory).countingCandidates(),
    begin: (group) => get(SidecarToken.QuotaCounting).begin(group),
  });
}

function createQuotas({ get }: ResolutionContext): TenantQuotas {
  const settings = get(SidecarToken.CurrentSettings);
  const directory = get(SidecarToken.Directory);
  return new TenantQuotas({
    clock: get(Token.Clock),
    allowance: () => {
      const { quotaWindow, quotaOvershoot, quotaSlack } = settings.current.bounds;
      return { windowMs: quotaWindow, overshoot: quotaOvershoot, slack: quotaSlack };
    },
    candidates: () => directory.countingCandidates(),
    portOf: (node) => directory.quotaPortOf(node),
  });
}

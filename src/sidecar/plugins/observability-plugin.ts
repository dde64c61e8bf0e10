/** Plug-in of the metrics. */
import { registerPlugin } from '../../kernel/plugin.js';
import { createSidecarMetrics } from '../sidecar-metrics.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

registerPlugin(
  {
    name: 'observability',
    order: SidecarOrder.Observability,
    bind: (container) => {
      container.bind(SidecarToken.Metrics).toDynamicValue(({ get }) =>
        createSidecarMetrics({
          inProgress: () => get(SidecarToken.Gateway).inProgress,
          rulesVersion: () => get(SidecarToken.Rules).version,
        }),
      );
    },
  },
  'sidecar',
);

/** Plug-in for the metrics. */
import { registerPlugin } from '../../kernel/plugin.js';
import { splitAddress } from '../../core/host-and-port.js';
import { createMetricsServer } from '../metrics-server.js';
import { createSidecarMetrics } from '../sidecar-metrics.js';
import { createServicePortGuard } from './service-port-guard.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

registerPlugin(
  {
    name: 'observability',
    order: SidecarOrder.Observability,
    bind: (container) => {
      container.bind(SidecarToken.Metrics).toDynamicValue(({ get }) =>
        createSidecarMetrics({
          inProgress: () => get(SidecarToken.Gateway).inProgress,
          admissionShares: () => get(SidecarToken.SharedAdmission).shares(),
          requestLimit: () => get(SidecarToken.Gateway).requestLimit,
          slowdown: () => get(SidecarToken.Gateway).slowdown,
          rulesVersion: () => get(SidecarToken.Rules).version,
          rulesUnconfirmedMs: () => get(SidecarToken.RulesFreshness).ageMs(),
          linkCounts: () => get(SidecarToken.Directory).linkCounts(),
          suspects: () => get(SidecarToken.Quarantine).suspects,
          quarantined: () => get(SidecarToken.Quarantine).quarantined,
        }),
      );
      container
        .bind(SidecarToken.MetricsServer)
        .toDynamicValue((context) =>
          createMetricsServer(
            context.get(SidecarToken.Metrics),
            createServicePortGuard(context, 'metrics'),
          ),
        );
    },
    start: async (container) => {
      const { metrics } = container.get(SidecarToken.Settings).listen;
      if (metrics === undefined) return;
      const { host, port } = splitAddress(metrics);
      await container.get(SidecarToken.MetricsServer).listen(host, port);
    },
    stop: (container) => container.get(SidecarToken.MetricsServer).close(),
  },
  'sidecar',
);

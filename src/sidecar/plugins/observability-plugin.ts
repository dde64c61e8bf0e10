/** Plug-in for the metrics. */
import type { Container } from 'inversify';
import { Event } from '../../kernel/event.js';
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
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
          logLinesLeftOut: () => get(Token.EventLog).linesLeftOut?.(),
          takenPorts: () => get(Token.PortBinder).failedAttempts,
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
    start: (container) => {
      const { metrics } = container.get(SidecarToken.Settings).listen;
      // A node serves without its metrics, so it does not wait for their port.
      if (metrics !== undefined) void bindMetrics(container, metrics);
      return Promise.resolve();
    },
    stop: (container) => container.get(SidecarToken.MetricsServer).close(),
  },
  'sidecar',
);

async function bindMetrics(container: Container, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  const server = container.get(SidecarToken.MetricsServer);
  try {
    await container.get(Token.PortBinder).bind('metrics', () => server.listen(host, port));
  } catch (error) {
    container
      .get(Token.EventLog)
      .emit(Event.InternalError, { port: 'metrics', error: String(error) });
  }
}

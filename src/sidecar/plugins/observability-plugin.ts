/** Plug-in for the metrics. */
import type { Container } from 'inversify';
import { EventLoopDelay } from '../../kernel/event-loop-delay.js';
import { Event } from '../../kernel/event.js';
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { splitAddress } from '../../core/host-and-port.js';
import { createMetricsServer } from '../metrics-server.js';
import { createSidecarMetrics } from '../sidecar-metrics.js';
import { createServicePortGuard } from './service-port-guard.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

/** Delays up to this are not logged; the timer whose lateness is measured has steps of a millisecond. */
const TOLERATED_DELAY_MS = 50;

registerPlugin(
  {
    name: 'observability',
    order: SidecarOrder.Observability,
    bind: (container) => {
      container.bind(Token.EventLoopDelay).toDynamicValue(({ get }) => {
        const log = get(Token.EventLog);
        return new EventLoopDelay(get(Token.Clock), (longestMs) => {
          if (longestMs <= TOLERATED_DELAY_MS) return;
          log.emit(Event.EventLoopDelayed, { longestMs: Math.round(longestMs) });
        });
      });
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
          eventLoopDelayMs: () => get(Token.EventLoopDelay).recentMs(),
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
      container.get(Token.EventLoopDelay).start();
      const { metrics } = container.get(SidecarToken.Settings).listen;
      // A node serves without its metrics, so it does not wait for their port.
      if (metrics !== undefined) void bindMetrics(container, metrics);
      return Promise.resolve();
    },
    stop: (container) => {
      container.get(Token.EventLoopDelay).stop();
      return container.get(SidecarToken.MetricsServer).close();
    },
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

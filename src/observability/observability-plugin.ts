/** Binds the node's metrics; the administration server publishes them at `GET /metrics`. */
import { createMetrics, publishTraffic } from '../kernel/metrics.js';
import { registerPlugin, StartOrder } from '../kernel/plugin.js';
import { Token } from '../kernel/token.js';

registerPlugin({
  name: 'observability',
  order: StartOrder.Observability,
  bind: (container) => {
    const metrics = createMetrics();
    publishTraffic(metrics.registry, container.get(Token.TrafficMeter));
    container.bind(Token.Metrics).toConstantValue(metrics);
  },
});

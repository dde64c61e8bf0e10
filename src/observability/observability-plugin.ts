/** Binds the node's metrics; the administration server publishes them at `GET /metrics`. */
import { createMetrics } from '../kernel/metrics.js';
import { registerPlugin, StartOrder } from '../kernel/plugin.js';
import { Token } from '../kernel/token.js';

registerPlugin({
  name: 'observability',
  order: StartOrder.Observability,
  bind: (container) => {
    container.bind(Token.Metrics).toConstantValue(createMetrics());
  },
});

/** Plug-in: the node's metrics, which the admin server publishes, and event loop delay. */
import { EventLoopDelay } from '../kernel/event-loop-delay.js';
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
    const delay = new EventLoopDelay(container.get(Token.Clock));
    container.bind(Token.EventLoopDelay).toConstantValue(delay);
  },
  start: (container) => {
    container.get(Token.EventLoopDelay).start();
    return Promise.resolve();
  },
  stop: (container) => {
    container.get(Token.EventLoopDelay).stop();
    return Promise.resolve();
  },
});

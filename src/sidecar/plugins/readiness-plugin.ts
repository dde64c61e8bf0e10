/** Plug-in for the readiness endpoint. */
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { splitAddress } from '../../core/host-and-port.js';
import { createReadinessServer } from '../readiness-server.js';
import { createServicePortGuard } from './service-port-guard.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

registerPlugin(
  {
    name: 'readiness',
    order: SidecarOrder.Readiness,
    bind: (container) => {
      container.bind(SidecarToken.ReadinessServer).toDynamicValue((context) => {
        const { get } = context;
        const kernel = get(Token.Kernel);
        const rules = get(SidecarToken.Rules);
        const nodes = get(SidecarToken.DirectoryWatch);
        const { readinessPath } = get(SidecarToken.Adapter);
        return createReadinessServer(
          readinessPath,
          createServicePortGuard(context, 'readiness'),
          () => !kernel.draining && rules.table !== undefined && nodes.isListed,
        );
      });
    },
    start: async (container) => {
      const { host, port } = splitAddress(container.get(SidecarToken.Settings).listen.readiness);
      const server = container.get(SidecarToken.ReadinessServer);
      await container.get(Token.PortBinder).bind('readiness', () => server.listen(host, port));
    },
    stop: (container) => container.get(SidecarToken.ReadinessServer).close(),
  },
  'sidecar',
);

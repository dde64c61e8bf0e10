/** Plug-in of the readiness question. */
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { splitAddress } from '../address.js';
import { ReadinessServer } from '../readiness-server.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

let server: ReadinessServer | undefined;

registerPlugin(
  {
    name: 'readiness',
    order: SidecarOrder.Readiness,
    bind: () => {
      // Other plug-ins need nothing of it.
    },
    start: async (container) => {
      const kernel = container.get(Token.Kernel);
      const rules = container.get(SidecarToken.Rules);
      const { readinessPath } = container.get(SidecarToken.Adapter);
      server = new ReadinessServer(
        readinessPath,
        () => !kernel.draining && rules.table !== undefined,
      );
      const { host, port } = splitAddress(container.get(SidecarToken.Settings).listen.readiness);
      await server.listen(host, port);
    },
    stop: () => {
      server?.close();
      return Promise.resolve();
    },
  },
  'sidecar',
);

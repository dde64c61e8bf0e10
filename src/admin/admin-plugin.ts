/** Plug-in of the operators' interface. */
import { registerPlugin, StartOrder } from '../kernel/plugin.js';
import { Token } from '../kernel/token.js';
import { resolveAdminNode } from './admin-node.js';
import { AdminServer } from './admin-server.js';

registerPlugin({
  name: 'admin',
  order: StartOrder.Admin,
  bind: (container) => {
    container
      .bind(Token.AdminServer)
      .toDynamicValue(() => new AdminServer(resolveAdminNode(container)))
      .inSingletonScope();
  },
  start: (container) => container.get(Token.AdminServer).start(),
  stop: (container) => container.get(Token.AdminServer).stop(),
});

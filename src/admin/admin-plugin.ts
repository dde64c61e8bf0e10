/** Plug-in of the admin API. */
import { registerPlugin, StartOrder } from '../kernel/plugin.js';
import { createToken, Token } from '../kernel/token.js';
import { resolveAdminNode } from './admin-node.js';
import { AdminServer } from './admin-server.js';

export const AdminServerToken = createToken<AdminServer>('AdminServer');

registerPlugin({
  name: 'admin',
  order: StartOrder.Admin,
  bind: (container) => {
    container
      .bind(AdminServerToken)
      .toDynamicValue(() => new AdminServer(resolveAdminNode(container)))
      .inSingletonScope();
  },
  start: async (container) => {
    const server = container.get(AdminServerToken);
    await container.get(Token.PortBinder).bind('admin', () => server.start());
  },
  stop: (container) => container.get(AdminServerToken).stop(),
});

/** Plug-in of the admin API. */
import { registerPlugin, StartOrder } from '../kernel/plugin.js';
import { createToken } from '../kernel/token.js';
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
  start: (container) => container.get(AdminServerToken).start(),
  stop: (container) => container.get(AdminServerToken).stop(),
});

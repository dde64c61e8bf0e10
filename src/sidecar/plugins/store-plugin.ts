/** Plug-in of the store's client. */
import { registerPlugin } from '../../kernel/plugin.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

/** Wait for an answer of the store, in milliseconds. */
const STORE_TIMEOUT_MS = 1_000;

registerPlugin(
  {
    name: 'store',
    order: SidecarOrder.Store,
    bind: (container) => {
      container.bind(SidecarToken.Store).toDynamicValue(({ get }) => {
        const { address } = get(SidecarToken.Settings).store;
        return get(SidecarToken.Adapter).createStore(address, STORE_TIMEOUT_MS);
      });
    },
    stop: (container) => {
      container.get(SidecarToken.Store).close();
      return Promise.resolve();
    },
  },
  'sidecar',
);

/** Plug-in of the store's client. */
import { createRandom } from '../../core/random.js';
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { StoreBackoff } from '../../store/store-backoff.js';
import { seedOf } from '../seed.js';
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
      container.bind(SidecarToken.StoreBackoff).toDynamicValue(({ get }) => {
        const seed = seedOf(`${get(SidecarToken.Settings).node.id} store`);
        return new StoreBackoff(get(Token.Clock), createRandom(seed));
      });
    },
    stop: (container) => {
      container.get(SidecarToken.Store).close();
      return Promise.resolve();
    },
  },
  'sidecar',
);

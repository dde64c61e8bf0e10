/** Plug-in for the store's client. */
import { createRandom } from '../../core/random.js';
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { Event } from '../../kernel/event.js';
import { StoreConnections } from '../../store/store-connections.js';
import { StoreBackoff } from '../../store/store-backoff.js';
import { StoreEras } from '../../store/store-eras.js';
import { seedOf } from '../seed.js';
import { createListingLimit, createStoreIntake } from './answer-intakes.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

/** Timeout of a call to the store. */
const STORE_TIMEOUT_MS = 1_000;

registerPlugin(
  {
    name: 'store',
    order: SidecarOrder.Store,
    bind: (container) => {
      container.bind(SidecarToken.Store).toDynamicValue((context) => {
        const { get } = context;
        const { address } = get(SidecarToken.Settings).store;
        const eras = get(SidecarToken.StoreEras);
        const connections = new StoreConnections(
          address,
          createStoreIntake(context),
          (connection) => {
            get(SidecarToken.Metrics).storeUnanswered.inc({ connection });
          },
        );
        const listings = createListingLimit(context);
        return get(SidecarToken.Adapter).createStore(connections, STORE_TIMEOUT_MS, eras, listings);
      });
      container.bind(SidecarToken.StoreEras).toDynamicValue(({ get }) => {
        const log = get(Token.EventLog);
        const eras = new StoreEras();
        eras.onChange((era, previous) => {
          log.emit(Event.StoreEraChanged, { era, previous });
        });
        return eras;
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

/** Plug-in for the directory of nodes. */
import { createRandom } from '../../core/random.js';
import { Event } from '../../kernel/event.js';
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { NodeDirectory } from '../directory/node-directory.js';
import { NODE_RECORD_PREFIX } from '../directory/node-record.js';
import { recordBatchPauseMs, waitForChangesMs } from '../directory/watch-timing.js';
import { PrefixWatch } from '../directory/prefix-watch.js';
import { WidespreadSilence } from '../link/widespread-silence.js';
import { seedOf } from '../seed.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

/** Wait of one watch call in a small fleet, in milliseconds. */
const MIN_WAIT_MS = 10_000;

registerPlugin(
  {
    name: 'directory',
    order: SidecarOrder.Directory,
    bind: (container) => {
      container.bind(SidecarToken.Directory).toDynamicValue(({ get }) => {
        const { node, target } = get(SidecarToken.Settings);
        const silence = new WidespreadSilence(get(Token.Clock), (silentNodes) => {
          get(Token.EventLog).emit(Event.PeersSilent, { silentNodes });
          get(SidecarToken.Directory).verifyLinks();
          get(SidecarToken.Store).replaceConnections();
        });
        return new NodeDirectory({
          node: node.id,
          zone: node.zone,
          region: node.region,
          service: target.service,
          clock: get(Token.Clock),
          log: get(Token.EventLog),
          localTarget: get(SidecarToken.Gateway),
          localQuota: get(SidecarToken.QuotaCounting),
          status: get(SidecarToken.Status),
          rulesDocument: () => get(SidecarToken.Rules).document,
          quarantine: get(SidecarToken.Quarantine),
          onServiceChanged: (service) => {
            get(SidecarToken.Routers).refresh(service);
          },
          onPeerRules: (version, request) => {
            get(SidecarToken.PeerRulesFetch).onPeerVersion(version, request);
          },
          onRulesDocument: (document) => {
            get(SidecarToken.Rules).offer(Buffer.from(document), 'peer');
          },
          onRulesConfirmation: (confirmation, requestedAt) => {
            get(SidecarToken.RulesFreshness).confirmByPeer(confirmation, requestedAt);
          },
          onPeerUnresponsive: (peer) => {
            silence.noteUnresponsive(peer);
          },
          isStoreAvailable: () => get(SidecarToken.DirectoryWatch).isAvailable,
          onOwnRecordLost: () => {
            get(SidecarToken.Publisher).writeAgain();
          },
          onLocalTargetLeft: (incarnation) => {
            get(SidecarToken.TargetLifecycle).onTargetLeft(incarnation);
          },
        });
      });
      container.bind(SidecarToken.DirectoryWatch).toDynamicValue(({ get }) => {
        const directory = get(SidecarToken.Directory);
        return new PrefixWatch({
          prefix: NODE_RECORD_PREFIX,
          store: get(SidecarToken.Store),
          backoff: get(SidecarToken.StoreBackoff),
          eras: get(SidecarToken.StoreEras),
          clock: get(Token.Clock),
          log: get(Token.EventLog),
          random: createRandom(seedOf(`${get(SidecarToken.Settings).node.id} nodes`)),
          waitMs: () => waitForChangesMs(directory.size, MIN_WAIT_MS),
          // Changes often come together: after a pause one call returns many. Urgent ones are sent over links.
          pauseAfterEventsMs: () => recordBatchPauseMs(directory.size),
          onListing: (items) => {
            directory.replaceAll(items);
            get(SidecarToken.Publisher).noteStored(items);
          },
          onEvents: (events) => {
            directory.apply(events);
            get(SidecarToken.Publisher).noteStored(events.filter((event) => event.type === 'put'));
          },
        });
      });
    },
    start: (container) => {
      container.get(SidecarToken.StoreEras).onChange(() => {
        container.get(SidecarToken.Directory).onStoreEraChanged();
      });
      void container.get(SidecarToken.DirectoryWatch).run();
      return Promise.resolve();
    },
    stop: (container) => {
      container.get(SidecarToken.DirectoryWatch).close();
      container.get(SidecarToken.Directory).close();
      return Promise.resolve();
    },
  },
  'sidecar',
);

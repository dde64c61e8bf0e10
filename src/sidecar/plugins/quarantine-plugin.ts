/** Plug-in for the quarantine of requests during which targets crashed. */
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { RequestQuarantine } from '../quarantine/request-quarantine.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

registerPlugin(
  {
    name: 'quarantine',
    order: SidecarOrder.Quarantine,
    bind: (container) => {
      container.bind(SidecarToken.Quarantine).toDynamicValue(
        ({ get }) =>
          new RequestQuarantine({
            clock: get(Token.Clock),
            log: get(Token.EventLog),
            trialNodeOf: (service, content) =>
              get(SidecarToken.Directory).trialNodeOf(service, content),
            broadcast: (update) => {
              get(SidecarToken.LinkServer).sendUpdate(update);
              get(SidecarToken.Directory).sendUpdate(update);
            },
          }),
      );
    },
  },
  'sidecar',
);

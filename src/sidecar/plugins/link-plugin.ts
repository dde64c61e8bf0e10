/** Plug-in for the links: their server, and the status of this node that is sent over them. */
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { ClientLimitReports } from '../../http/client-limit-reports.js';
import { linkLimits } from '../client-limits.js';
import { LinkServer } from '../link/link-server.js';
import { incarnationText } from '../directory/target-registration.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

registerPlugin(
  {
    name: 'link',
    order: SidecarOrder.Link,
    bind: (container) => {
      container.bind(SidecarToken.Status).toDynamicValue(({ get }) => {
        const { node, target } = get(SidecarToken.Settings);
        const gateway = get(SidecarToken.Gateway);
        const registration = get(SidecarToken.Registration);
        return () => {
          const { current } = registration;
          return {
            node: node.id,
            service: target.service,
            target: gateway.isStopping ? 'leaving' : (current?.state ?? 'unknown'),
            ...(current === undefined ? {} : { incarnation: incarnationText(current) }),
            ...(current?.state === 'leaving' ? { targetLeft: true as const } : {}),
            admission: true,
            rulesVersion: get(SidecarToken.Rules).version,
          };
        };
      });
      container.bind(SidecarToken.LinkServer).toDynamicValue(({ get }) => {
        const reports = new ClientLimitReports({
          port: 'links',
          hits: get(SidecarToken.Metrics).limitHits,
          clock: get(Token.Clock),
          log: get(Token.EventLog),
        });
        return new LinkServer({
          limits: linkLimits(get(SidecarToken.Settings)),
          reports,
          clock: get(Token.Clock),
          target: get(SidecarToken.Gateway),
          bodies: get(SidecarToken.Bodies),
          status: get(SidecarToken.Status),
          rulesDocument: () => get(SidecarToken.Rules).document,
          quarantine: get(SidecarToken.Quarantine),
          quota: get(SidecarToken.QuotaCounting),
          admission: get(SidecarToken.AdmissionCoordinators),
          rulesConfirmation: () => get(SidecarToken.RulesFreshness).confirmation,
          leftTargetOf: (node) => get(SidecarToken.Directory).leftTargetOf(node),
          onLocalTargetLeft: (incarnation) => {
            get(SidecarToken.TargetLifecycle).onTargetLeft(incarnation);
          },
          onRelayedLimit: (limit) => {
            get(SidecarToken.Gateway).onRelayedLimit(limit);
          },
          onPeerStatus: ({ rulesVersion }, requestRules) => {
            get(SidecarToken.PeerRulesFetch).onPeerVersion(rulesVersion, requestRules);
          },
          onRules: (document) => {
            get(SidecarToken.Rules).offer(Buffer.from(document), 'peer');
          },
        });
      });
    },
    start: async (container) => {
      const { host, ports } = container.get(SidecarToken.Settings).listen;
      const server = container.get(SidecarToken.LinkServer);
      await container.get(Token.PortBinder).bind('links', () => server.listen(host, ports[0]));
    },
    drain: (container) => {
      container.get(SidecarToken.LinkServer).announceStatus();
      return Promise.resolve();
    },
    stop: (container) => {
      container.get(SidecarToken.LinkServer).close();
      return Promise.resolve();
    },
  },
  'sidecar',
);

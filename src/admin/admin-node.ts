import type { Container } from 'inversify';
import type { ConfigStore } from '../config/config-store.js';
import type { RulesRepository } from '../config/rules-repository.js';
import type { Settings } from '../config/settings.js';
import type { CallRouter } from '../entry/call-router.js';
import type { Clock } from '../kernel/clock.js';
import type { EventLog } from '../kernel/event.js';
import type { KernelControl } from '../kernel/kernel-control.js';
import type { Metrics } from '../kernel/metrics.js';
import { Token } from '../kernel/token.js';
import type { Membership } from '../membership/membership.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import type { PlatformClient } from '../etcd/platform-client.js';
import type { TargetAdministration } from '../target/target-administration.js';
import type { TargetDispatcher } from '../target/target-dispatcher.js';
import type { ServiceIdentifier } from 'inversify';

/** Parts of a node that the admin API uses; a part that the node runs without is absent. */
export interface AdminNode {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly kernel: KernelControl;
  readonly metrics: Metrics;
  readonly configStore?: ConfigStore | undefined;
  readonly rulesRepository?: RulesRepository | undefined;
  readonly membership?: Membership | undefined;
  readonly peers?: PeerNetwork | undefined;
  readonly platform?: PlatformClient | undefined;
  readonly dispatcher?: TargetDispatcher | undefined;
  readonly targets?: TargetAdministration | undefined;
  readonly router?: CallRouter | undefined;
}

/** Collects the parts of a node from its container. */
export function resolveAdminNode(container: Container): AdminNode {
  return {
    settings: container.get(Token.Settings),
    clock: container.get(Token.Clock),
    log: container.get(Token.EventLog),
    kernel: container.get(Token.Kernel),
    metrics: container.get(Token.Metrics),
    configStore: getOptional(container, Token.ConfigStore),
    rulesRepository: getOptional(container, Token.RulesRepository),
    membership: getOptional(container, Token.Membership),
    peers: getOptional(container, Token.PeerNetwork),
    platform: getOptional(container, Token.PlatformClient),
    dispatcher: getOptional(container, Token.TargetDispatcher),
    targets: getOptional(container, Token.TargetAdministration),
    router: getOptional(container, Token.CallRouter),
  };
}

function getOptional<T>(container: Container, token: ServiceIdentifier<T>): T | undefined {
  return container.isBound(token) ? container.get(token) : undefined;
}

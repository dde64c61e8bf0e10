/** Typed identifiers under which plug-ins find each other's services in the container. */
import type { ServiceIdentifier } from 'inversify';
import type { AdminServer } from '../admin/admin-server.js';
import type { ClaimService } from '../claims/claim-service.js';
import type { ByteBudget } from '../core/byte-budget.js';
import type { ConfigStore } from '../config/config-store.js';
import type { RulesRepository } from '../config/rules-repository.js';
import type { Settings } from '../config/settings.js';
import type { CallRouter } from '../entry/call-router.js';
import type { Membership } from '../membership/membership.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import type { PlatformClient } from '../platform/platform-client.js';
import type { TargetAdministration } from '../target/target-administration.js';
import type { TargetDispatcher } from '../target/target-dispatcher.js';
import type { Clock } from './clock.js';
import type { EventLog } from './event.js';
import type { Kernel } from './kernel.js';
import type { Metrics } from './metrics.js';
import type { TrafficMeter } from './traffic-meter.js';

function token<T>(name: string): ServiceIdentifier<T> {
  return Symbol.for(`sillshore.${name}`);
}

/** One token a service. */
export const Token = {
  Settings: token<Settings>('Settings'),
  Clock: token<Clock>('Clock'),
  EventLog: token<EventLog>('EventLog'),
  Metrics: token<Metrics>('Metrics'),
  TrafficMeter: token<TrafficMeter>('TrafficMeter'),
  Kernel: token<Kernel>('Kernel'),
  PeerNetwork: token<PeerNetwork>('PeerNetwork'),
  Membership: token<Membership>('Membership'),
  PlatformClient: token<PlatformClient>('PlatformClient'),
  ConfigStore: token<ConfigStore>('ConfigStore'),
  RulesRepository: token<RulesRepository>('RulesRepository'),
  ClaimService: token<ClaimService>('ClaimService'),
  TargetDispatcher: token<TargetDispatcher>('TargetDispatcher'),
  TargetAdministration: token<TargetAdministration>('TargetAdministration'),
  CallRouter: token<CallRouter>('CallRouter'),
  AdminServer: token<AdminServer>('AdminServer'),
  ByteBudget: token<ByteBudget>('ByteBudget'),
} as const;

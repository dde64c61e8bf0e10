/** Typed identifiers by which plug-ins look up each other's services in the container. */
import type { ServiceIdentifier } from 'inversify';
import type { ClaimService } from '../claims/claim-service.js';
import type { ByteBudget } from '../core/byte-budget.js';
import type { ConfigStore } from '../config/config-store.js';
import type { RulesRepository } from '../config/rules-repository.js';
import type { Settings } from '../config/settings.js';
import type { CallRouter } from '../entry/call-router.js';
import type { LeavingTargets } from '../membership/leaving-targets.js';
import type { Membership } from '../membership/membership.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import type { PlatformClient } from '../etcd/platform-client.js';
import type { TargetAdministration } from '../target/target-administration.js';
import type { TargetDispatcher } from '../target/target-dispatcher.js';
import type { Clock } from './clock.js';
import type { EventLog } from './event.js';
import type { EventLoopDelay } from './event-loop-delay.js';
import type { KernelControl } from './kernel-control.js';
import type { Metrics } from './metrics.js';
import type { PortBinder } from './port-binder.js';
import type { TrafficMeter } from './traffic-meter.js';

/** Creates a typed identifier; plug-ins create their own for services that only they use. */
export function createToken<T>(name: string): ServiceIdentifier<T> {
  return Symbol.for(`sillshore.${name}`);
}

/** The token of each service that plug-ins share. */
export const Token = {
  Settings: createToken<Settings>('Settings'),
  Clock: createToken<Clock>('Clock'),
  EventLog: createToken<EventLog>('EventLog'),
  EventLoopDelay: createToken<EventLoopDelay>('EventLoopDelay'),
  Metrics: createToken<Metrics>('Metrics'),
  TrafficMeter: createToken<TrafficMeter>('TrafficMeter'),
  Kernel: createToken<KernelControl>('Kernel'),
  PortBinder: createToken<PortBinder>('PortBinder'),
  PeerNetwork: createToken<PeerNetwork>('PeerNetwork'),
  Membership: createToken<Membership>('Membership'),
  LeavingTargets: createToken<LeavingTargets>('LeavingTargets'),
  PlatformClient: createToken<PlatformClient>('PlatformClient'),
  ConfigStore: createToken<ConfigStore>('ConfigStore'),
  RulesRepository: createToken<RulesRepository>('RulesRepository'),
  ClaimService: createToken<ClaimService>('ClaimService'),
  TargetDispatcher: createToken<TargetDispatcher>('TargetDispatcher'),
  TargetAdministration: createToken<TargetAdministration>('TargetAdministration'),
  CallRouter: createToken<CallRouter>('CallRouter'),
  ByteBudget: createToken<ByteBudget>('ByteBudget'),
} as const;

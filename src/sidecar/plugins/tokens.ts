/** Typed identifiers under which the sidecar's plug-ins find each other's services. */
import type { GateMeter } from '../../core/admission/gate-meter.js';
import type { UnfinishedBodies } from '../../core/holding/unfinished-bodies.js';
import { createToken } from '../../kernel/token.js';
import type { MetadataStore } from '../../store/metadata-store.js';
import type { StoreBackoff } from '../../store/store-backoff.js';
import type { StoreEras } from '../../store/store-eras.js';
import type { AdmissionCoordinators } from '../admission/admission-coordinators.js';
import type { CapacityReporter } from '../admission/capacity-reporter.js';
import type { CoordinatorChoices } from '../admission/coordinator-choice.js';
import type { InvalidFiguresLog } from '../admission/invalid-figures-log.js';
import type { SharedAdmission } from '../admission/shared-admission.js';
import type { RequestCosts } from '../../core/admission/request-costs.js';
import type { CurrentSettings } from '../current-settings.js';
import type { NodeDirectory } from '../directory/node-directory.js';
import type { PrefixWatch } from '../directory/prefix-watch.js';
import type { RecordPublisher } from '../directory/record-publisher.js';
import type { TargetLifecycle } from '../directory/target-lifecycle.js';
import type { TargetRegistration } from '../directory/target-registration.js';
import type { EntryListener } from '../entry/entry-listener.js';
import type { PlannedStop } from '../entry/planned-stop.js';
import type { ServiceRouters } from '../entry/service-routers.js';
import type { LinkServer } from '../link/link-server.js';
import type { NodeStatus } from '../link/link-messages.js';
import type { ForwardedFields } from '../forwarded-fields.js';
import type { PlatformAdapter } from '../platform-adapter.js';
import type { RequestQuarantine } from '../quarantine/request-quarantine.js';
import type { PeerRulesFetch } from '../rules/peer-rules-fetch.js';
import type { FreshnessRefresher } from '../rules/freshness-refresher.js';
import type { RulesFreshness } from '../rules/rules-freshness.js';
import type { ActiveRules } from '../rules/active-rules.js';
import type { EarlyCounting } from '../quota/early-counting.js';
import type { QuotaCounting } from '../quota/quota-counting.js';
import type { TenantQuotas } from '../quota/tenant-quotas.js';
import type { RequestAuthorizer } from '../tenants/request-authorizer.js';
import type { HttpListener } from '../http-listener.js';
import type { SidecarMetrics } from '../sidecar-metrics.js';
import type { SidecarSettings } from '../settings.js';
import type { TargetGateway } from '../target/target-gateway.js';

/** Returns the current status of this node. */
export type StatusSource = () => NodeStatus;

/** One token per service. */
export const SidecarToken = {
  Settings: createToken<SidecarSettings>('sidecar.Settings'),
  CurrentSettings: createToken<CurrentSettings>('sidecar.CurrentSettings'),
  Adapter: createToken<PlatformAdapter>('sidecar.Adapter'),
  ForwardedFields: createToken<ForwardedFields>('sidecar.ForwardedFields'),
  Metrics: createToken<SidecarMetrics>('sidecar.Metrics'),
  MetricsServer: createToken<HttpListener>('sidecar.MetricsServer'),
  Store: createToken<MetadataStore>('sidecar.Store'),
  StoreBackoff: createToken<StoreBackoff>('sidecar.StoreBackoff'),
  StoreEras: createToken<StoreEras>('sidecar.StoreEras'),
  Rules: createToken<ActiveRules>('sidecar.Rules'),
  PeerRulesFetch: createToken<PeerRulesFetch>('sidecar.PeerRulesFetch'),
  RulesFreshness: createToken<RulesFreshness>('sidecar.RulesFreshness'),
  FreshnessRefresher: createToken<FreshnessRefresher>('sidecar.FreshnessRefresher'),
  QuotaCounting: createToken<QuotaCounting>('sidecar.QuotaCounting'),
  EarlyCounting: createToken<EarlyCounting>('sidecar.EarlyCounting'),
  SharedAdmission: createToken<SharedAdmission>('sidecar.SharedAdmission'),
  AdmissionCoordinators: createToken<AdmissionCoordinators>('sidecar.AdmissionCoordinators'),
  CoordinatorChoices: createToken<CoordinatorChoices>('sidecar.CoordinatorChoices'),
  InvalidFiguresLog: createToken<InvalidFiguresLog>('sidecar.InvalidFiguresLog'),
  GateMeter: createToken<GateMeter>('sidecar.GateMeter'),
  CapacityReporter: createToken<CapacityReporter>('sidecar.CapacityReporter'),
  TenantQuotas: createToken<TenantQuotas>('sidecar.TenantQuotas'),
  Authorizer: createToken<RequestAuthorizer>('sidecar.Authorizer'),
  Status: createToken<StatusSource>('sidecar.Status'),
  Directory: createToken<NodeDirectory>('sidecar.Directory'),
  Publisher: createToken<RecordPublisher>('sidecar.Publisher'),
  Registration: createToken<TargetRegistration>('sidecar.Registration'),
  RegistrationServer: createToken<HttpListener>('sidecar.RegistrationServer'),
  DirectoryWatch: createToken<PrefixWatch>('sidecar.DirectoryWatch'),
  RulesWatch: createToken<PrefixWatch>('sidecar.RulesWatch'),
  ReadinessServer: createToken<HttpListener>('sidecar.ReadinessServer'),
  TargetLifecycle: createToken<TargetLifecycle>('sidecar.TargetLifecycle'),
  Quarantine: createToken<RequestQuarantine>('sidecar.Quarantine'),
  RequestCosts: createToken<RequestCosts>('sidecar.RequestCosts'),
  Gateway: createToken<TargetGateway>('sidecar.Gateway'),
  LinkServer: createToken<LinkServer>('sidecar.LinkServer'),
  Routers: createToken<ServiceRouters>('sidecar.Routers'),
  PlannedStop: createToken<PlannedStop>('sidecar.PlannedStop'),
  Listener: createToken<EntryListener>('sidecar.Listener'),
  Bodies: createToken<UnfinishedBodies>('sidecar.Bodies'),
} as const;

/** Positions of the sidecar's plug-ins in the start sequence. */
export enum SidecarOrder {
  Settings = 0,
  Observability = 10,
  Store = 20,
  Quarantine = 25,
  Target = 30,
  Link = 40,
  Directory = 50,
  Rules = 60,
  Quota = 65,
  Admission = 67,
  Entry = 70,
  Readiness = 80,
}

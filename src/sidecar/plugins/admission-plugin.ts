/** Plug-in for the admission to short services that all nodes share. */
import type { ResolutionContext } from 'inversify';
import { GateMeter } from '../../core/admission/gate-meter.js';
import { CRITICALITIES } from '../../core/request.js';
import { CallerKeys } from '../../core/retry/caller-keys.js';
import { registerPlugin } from '../../kernel/plugin.js';
import { Event, type EventLog } from '../../kernel/event.js';
import { Token } from '../../kernel/token.js';
import { AdmissionCoordinators } from '../admission/admission-coordinators.js';
import { classFiguresText } from '../admission/class-figures.js';
import { CapacityReporter } from '../admission/capacity-reporter.js';
import { CoordinatorChoices } from '../admission/coordinator-choice.js';
import { DemandReporter } from '../admission/demand-reporter.js';
import { InvalidFiguresLog } from '../admission/invalid-figures-log.js';
import type { AdmissionPort } from '../admission/admission-messages.js';
import { SharedAdmission, type ReportStarter } from '../admission/shared-admission.js';
import { isSharedAdmissionOn } from '../admission/shared-admission-mode.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

const LOGGED_DIGITS = 2;

registerPlugin(
  {
    name: 'admission',
    order: SidecarOrder.Admission,
    bind: (container) => {
      container.bind(SidecarToken.GateMeter).toConstantValue(new GateMeter());
      container
        .bind(SidecarToken.InvalidFiguresLog)
        .toDynamicValue(({ get }) => new InvalidFiguresLog(get(Token.Clock), get(Token.EventLog)));
      container.bind(SidecarToken.CoordinatorChoices).toDynamicValue(createChoices);
      container.bind(SidecarToken.AdmissionCoordinators).toDynamicValue(createCoordinators);
      container.bind(SidecarToken.SharedAdmission).toDynamicValue(createSharedAdmission);
      container.bind(SidecarToken.CapacityReporter).toDynamicValue(createCapacityReporter);
    },
    stop: (container) => {
      container.get(SidecarToken.SharedAdmission).close();
      container.get(SidecarToken.CapacityReporter).close();
      return Promise.resolve();
    },
  },
  'sidecar',
);

function createChoices({ get }: ResolutionContext): CoordinatorChoices {
  const log: EventLog = get(Token.EventLog);
  return new CoordinatorChoices(
    () => get(SidecarToken.Directory).reachableNodes(),
    (service, node, before) => {
      log.emit(Event.AdmissionCoordinatorChanged, { service, coordinator: node, before });
    },
  );
}

function createCoordinators({ get }: ResolutionContext): AdmissionCoordinators {
  return new AdmissionCoordinators({
    clock: get(Token.Clock),
    limitOf: (tenant) =>
      get(SidecarToken.Rules).table?.tenants?.find(tenant)?.limit?.requestsPerSecond,
    reachableTargets: (service) => get(SidecarToken.Directory).reachableTargets(service),
    onInvalid: (peer, service) => {
      get(SidecarToken.InvalidFiguresLog).note(peer, service);
    },
    onPlanned: (service, { plan, slots, gates, load, factor, wantedSlots }) => {
      get(Token.EventLog).emit(Event.AdmissionPlanned, {
        service,
        slots: Math.round(slots),
        gates,
        load: Number(load.toFixed(LOGGED_DIGITS)),
        factor: Number(factor.toFixed(LOGGED_DIGITS)),
        wantedSlots: classFiguresText(wantedSlots),
        shares: classFiguresText(plan.shares),
      });
    },
  });
}

function createSharedAdmission({ get }: ResolutionContext): SharedAdmission {
  const metrics = get(SidecarToken.Metrics);
  return new SharedAdmission({
    clock: get(Token.Clock),
    log: get(Token.EventLog),
    costs: get(SidecarToken.RequestCosts),
    refusals: new CallerKeys(),
    isOn: () => isOn(get),
    createReporter: (service, admission) => createReporter(get, service, admission),
    onRefused: (service, rank) => {
      metrics.admissionRefusals.inc({ service, class: CRITICALITIES[rank]! });
    },
  });
}

function createReporter(
  get: ResolutionContext['get'],
  service: string,
  admission: SharedAdmission,
): ReportStarter {
  return new DemandReporter({
    node: get(SidecarToken.Settings).node.id,
    service,
    clock: get(Token.Clock),
    choice: get(SidecarToken.CoordinatorChoices).of(service),
    portOf: (node) => portOf(get, node),
    isShort: (now) => admission.shortService(service)?.isShort(now) ?? false,
    reportDelayMs: (now) => admission.shortService(service)?.reportDelayMs(now) ?? 0,
    rows: (now) => admission.rows(now, service),
    onPlan: (plan) => {
      admission.onPlan(service, plan);
    },
    onInvalid: (node) => {
      get(SidecarToken.InvalidFiguresLog).note(node, service);
    },
    onTick: () => {
      admission.onReportTick(service);
    },
  });
}

function createCapacityReporter({ get }: ResolutionContext): CapacityReporter {
  const { node, target } = get(SidecarToken.Settings);
  return new CapacityReporter({
    node: node.id,
    service: target.service,
    clock: get(Token.Clock),
    meter: get(SidecarToken.GateMeter),
    isOn: () => isOn(get),
    choice: () => get(SidecarToken.CoordinatorChoices).of(target.service),
    portOf: (other) => portOf(get, other),
    // Replies to demand reports show whether the coordinator is there; capacity reports have none.
    onBusy: () => {
      get(SidecarToken.SharedAdmission).noteShort(target.service);
    },
  });
}

function isOn(get: ResolutionContext['get']): boolean {
  const { sharedAdmission } = get(SidecarToken.CurrentSettings).current.loadControl;
  return isSharedAdmissionOn(sharedAdmission, get(SidecarToken.Directory).size);
}

function portOf(get: ResolutionContext['get'], node: string): AdmissionPort | undefined {
  if (node === get(SidecarToken.Settings).node.id) return get(SidecarToken.AdmissionCoordinators);
  return get(SidecarToken.Directory).admissionLinkTo(node);
}

/** Plug-in for the callers' interface. */
import type { Container, ResolutionContext } from 'inversify';
import { RequestCosts } from '../../core/admission/request-costs.js';
import { ByteBudget } from '../../core/byte-budget.js';
import { UnfinishedBodies } from '../../core/holding/unfinished-bodies.js';
import { findOverloadPolicy } from '../../core/overload-policy-registry.js';
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { splitAddress } from '../../core/host-and-port.js';
import { ClientLimitReports } from '../../http/client-limit-reports.js';
import { ConnectionGuard } from '../../http/connection-guard.js';
import { bodyBufferBytes, callerLimits } from '../client-limits.js';
import { ObservedCosts } from '../admission/observed-costs.js';
import { BodyIntake } from '../entry/body-intake.js';
import { CallersDrain } from '../entry/callers-drain.js';
import { EntryListener } from '../entry/entry-listener.js';
import { EntryService } from '../entry/entry-service.js';
import { PlannedStop, stopMarginMs, targetAcceptTimeMs } from '../entry/planned-stop.js';
import { ServiceRouters } from '../entry/service-routers.js';
import { seedOf } from '../seed.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

const POLICY = 'adaptive';
const BODY_LIMIT_NAMES = { yielded: 'body-bytes', late: 'body-time' } as const;
/** Share of the allowed retry ratio that is used; the rest covers windows with other boundaries. */
const RETRY_RATIO_SHARE = 0.75;
/**
 * Share of the allowed retry ratio up to which calls of attempts that are retries are admitted; the rest covers
 * requests that are counted here but do not reach a target.
 */
const CALL_RETRY_RATIO_SHARE = 0.9;
/** Share of the allowed retry slack that is used: retries add up over the levels of a call chain. */
const RETRY_SLACK_SHARE = 0.3;

registerPlugin(
  {
    name: 'entry',
    order: SidecarOrder.Entry,
    bind: (container) => {
      container.bind(SidecarToken.Bodies).toDynamicValue(({ get }) => {
        const budget = new ByteBudget(bodyBufferBytes(get(SidecarToken.Settings)));
        return new UnfinishedBodies(budget);
      });
      container.bind(SidecarToken.Routers).toDynamicValue(createRouters);
      container.bind(SidecarToken.RequestCosts).toConstantValue(new RequestCosts());
      container.bind(SidecarToken.PlannedStop).toConstantValue(new PlannedStop());
      container.bind(SidecarToken.Listener).toDynamicValue(createListener);
    },
    start: async (container) => {
      const { entry } = container.get(SidecarToken.Settings).listen;
      const { host, port } = splitAddress(entry);
      const server = container.get(SidecarToken.Listener);
      await container.get(Token.PortBinder).bind('entry', () => server.listen(host, port));
    },
    drain,
    stop: (container) => container.get(SidecarToken.Listener).close(),
  },
  'sidecar',
);

function createRouters({ get }: ResolutionContext): ServiceRouters {
  const { node, bounds } = get(SidecarToken.Settings);
  const policy = findOverloadPolicy(POLICY);
  if (policy === undefined) throw new Error(`overload policy ${POLICY} is not registered`);
  return new ServiceRouters({
    directory: get(SidecarToken.Directory),
    policy,
    clock: get(Token.Clock),
    zone: node.zone,
    region: node.region,
    seed: seedOf(`${node.id} routers`),
    retryBudget: {
      ratio: bounds.retryRatio * RETRY_RATIO_SHARE,
      callRatio: bounds.retryRatio * CALL_RETRY_RATIO_SHARE,
      windowMs: bounds.retryWindow,
      slack: 0,
    },
  });
}

function createListener({ get }: ResolutionContext): EntryListener {
  const { target } = get(SidecarToken.Settings);
  const settings = get(SidecarToken.CurrentSettings);
  const metrics = get(SidecarToken.Metrics);
  const adapter = get(SidecarToken.Adapter);
  const parentOf = (attemptId: string): string | undefined => adapter.parentOf(attemptId);
  const [gateway, clock] = [get(SidecarToken.Gateway), get(Token.Clock)];
  const costs = get(SidecarToken.RequestCosts);
  const reports = new ClientLimitReports({
    port: 'entry',
    hits: metrics.limitHits,
    clock,
    log: get(Token.EventLog),
  });
  const service = new EntryService({
    fields: adapter.fields,
    forwardedFields: get(SidecarToken.ForwardedFields),
    parentOf,
    gateway,
    callerService: target.service,
    rules: get(SidecarToken.Rules),
    routers: get(SidecarToken.Routers),
    directory: get(SidecarToken.Directory),
    plannedStop: get(SidecarToken.PlannedStop),
    quarantine: get(SidecarToken.Quarantine),
    authorizer: get(SidecarToken.Authorizer),
    quotas: get(SidecarToken.TenantQuotas),
    admission: get(SidecarToken.SharedAdmission),
    observedCosts: new ObservedCosts({ costs, gateway, clock, parentOf }),
    bodies: new BodyIntake(get(SidecarToken.Bodies), clock, (end) => {
      reports.note(BODY_LIMIT_NAMES[end]);
    }),
    clock,
    log: get(Token.EventLog),
    retrySlack: () => settings.current.bounds.retrySlack * RETRY_SLACK_SHARE,
    onRequestEnd: (kind, code, seconds) => {
      metrics.requests.inc({ kind, code });
      metrics.latency.observe({ kind }, seconds);
    },
    onUnanswered: (endedBy) => {
      metrics.unanswered.inc({ ended_by: endedBy });
    },
  });
  const limits = callerLimits(settings.current);
  const guard = new ConnectionGuard(limits, clock, reports);
  return new EntryListener(service, guard, clock);
}

/** Planned stop: ends new work for the target after a while and runs a {@link CallersDrain}. */
async function drain(container: Container, endAt: number): Promise<void> {
  const gateway = container.get(SidecarToken.Gateway);
  const clock = container.get(Token.Clock);
  const stopMs = endAt - clock.now();
  clock.schedule(targetAcceptTimeMs(stopMs), () => {
    gateway.stop();
    container.get(SidecarToken.LinkServer).announceStatus();
  });
  const callers = new CallersDrain({
    listener: container.get(SidecarToken.Listener),
    plannedStop: container.get(SidecarToken.PlannedStop),
    clock: container.get(Token.Clock),
    log: container.get(Token.EventLog),
    runningAtTarget: () => gateway.inProgress,
  });
  await callers.run(endAt - stopMarginMs(stopMs));
}

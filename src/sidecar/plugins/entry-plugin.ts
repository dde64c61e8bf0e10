/** Plug-in of the callers' interface. */
import type { Container, ResolutionContext } from 'inversify';
import { ByteBudget } from '../../core/byte-budget.js';
import { findOverloadPolicy } from '../../core/overload-policy-registry.js';
import type { Clock } from '../../kernel/clock.js';
import { Event } from '../../kernel/event.js';
import { registerPlugin } from '../../kernel/plugin.js';
import { Token } from '../../kernel/token.js';
import { splitAddress } from '../../core/host-and-port.js';
import { EntryListener } from '../entry/entry-listener.js';
import { EntryService } from '../entry/entry-service.js';
import { ServiceRouters } from '../entry/service-routers.js';
import { seedOf } from '../seed.js';
import { SidecarOrder, SidecarToken } from './tokens.js';

const POLICY = 'adaptive';
const BYTES_PER_MB = 1024 * 1024;
/** Part of the memory that bodies of callers' requests may take. */
const BODY_MEMORY_SHARE = 0.3;
/**
 * Part of the allowed ratio of repeats that one service level uses. Calls that a repeated run
 * makes count as repeats below, so that the levels of a call chain add up.
 */
const RATIO_SHARE_PER_LEVEL = 0.3;
/** The same for the allowance beyond the ratio. */
const SLACK_SHARE_PER_LEVEL = 0.3;

/** Time after the signal until idle connections are closed: callers have been told to go by then. */
const LINGER_MS = 2_600;
/** Kept free at the end of the grace period for the stop itself. */
const STOP_MARGIN_MS = 800;
const CHECK_INTERVAL_MS = 100;

registerPlugin(
  {
    name: 'entry',
    order: SidecarOrder.Entry,
    bind: (container) => {
      container.bind(SidecarToken.Buffers).toDynamicValue(({ get }) => {
        const { memoryMb } = get(SidecarToken.Settings).limits;
        return new ByteBudget(memoryMb * BYTES_PER_MB * BODY_MEMORY_SHARE);
      });
      container.bind(SidecarToken.Routers).toDynamicValue(createRouters);
      container.bind(SidecarToken.Listener).toDynamicValue(createListener);
    },
    start: async (container) => {
      const { entry } = container.get(SidecarToken.Settings).listen;
      const { host, port } = splitAddress(entry);
      await container.get(SidecarToken.Listener).listen(host, port);
    },
    drain,
    stop: (container) => {
      container.get(SidecarToken.Listener).close();
      return Promise.resolve();
    },
  },
  'sidecar',
);

function createRouters({ get }: ResolutionContext): ServiceRouters {
  const { node, bounds } = get(SidecarToken.Settings);
  const policy = findOverloadPolicy(POLICY);
  if (policy === undefined) throw new Error(`no policy ${POLICY}`);
  return new ServiceRouters({
    directory: get(SidecarToken.Directory),
    policy,
    clock: get(Token.Clock),
    zone: node.zone,
    region: node.region,
    seed: seedOf(`${node.id} routers`),
    repeats: {
      ratio: bounds.retryRatio * RATIO_SHARE_PER_LEVEL,
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
  const service = new EntryService({
    fields: adapter.fields,
    parentOf: (attemptId) => adapter.parentOf(attemptId),
    gateway: get(SidecarToken.Gateway),
    callerService: target.service,
    rules: get(SidecarToken.Rules),
    routers: get(SidecarToken.Routers),
    directory: get(SidecarToken.Directory),
    buffers: get(SidecarToken.Buffers),
    clock: get(Token.Clock),
    log: get(Token.EventLog),
    repeatSlack: () => settings.current.bounds.retrySlack * SLACK_SHARE_PER_LEVEL,
    onRequestEnd: (kind, code, seconds) => {
      metrics.requests.inc({ kind, code });
      metrics.latency.observe({ kind }, seconds);
    },
    onUnanswered: (endedBy) => {
      metrics.unanswered.inc({ ended_by: endedBy });
    },
  });
  return new EntryListener((exchange, answer) => service.handle(exchange, answer));
}

/**
 * Planned stop: what comes is still served, and each answer closes its connection. The stop goes
 * on when callers have had time to go elsewhere and nothing is under way any more.
 */
async function drain(container: Container): Promise<void> {
  const listener = container.get(SidecarToken.Listener);
  const gateway = container.get(SidecarToken.Gateway);
  const clock = container.get(Token.Clock);
  const { gracePeriod } = container.get(SidecarToken.CurrentSettings).current.bounds;
  const startedAt = clock.now();
  listener.closeAfterAnswers();
  gateway.stop();
  container.get(SidecarToken.LinkServer).announceStatus();
  const logEnd = (reason: 'idle' | 'time-limit', ms: number): void => {
    container.get(Token.EventLog).emit(Event.CallersDrained, {
      reason,
      ms: Math.round(ms),
      requests: listener.requestCount,
      connections: listener.connectionCount,
      atTarget: gateway.inProgress,
    });
  };
  for (;;) {
    await sleep(clock, CHECK_INTERVAL_MS);
    const elapsed = clock.now() - startedAt;
    if (elapsed > gracePeriod - STOP_MARGIN_MS) {
      logEnd('time-limit', elapsed);
      return;
    }
    if (elapsed < LINGER_MS) continue;
    if (listener.closeIdle() === 0 && gateway.inProgress === 0) {
      logEnd('idle', elapsed);
      return;
    }
  }
}

function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule(delayMs, resolve);
  });
}

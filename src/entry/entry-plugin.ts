/** Plug-in of the callers' interface: the listener, its task and the call router. */
import { randomInt } from 'node:crypto';
import type { Container } from 'inversify';
import { callerLimits } from '../config/client-limits.js';
import { splitAddress } from '../core/host-and-port.js';
import { createFailure, type Failure } from '../core/failure.js';
import type { HttpAnswer } from '../core/http-message.js';
import { ResultCode } from '../core/result-code.js';
import { ClientLimitReports } from '../http/client-limit-reports.js';
import { Event } from '../kernel/event.js';
import { StartOrder, registerPlugin } from '../kernel/plugin.js';
import { Token } from '../kernel/token.js';
import { TargetPlacement } from '../target/target-placement.js';
import { CoalescedCall } from '../target/coalesced-call.js';
import { REFRESH_INTERVAL_MS, requirePolicy } from '../target/target-plugin.js';
import { CallFactory } from './call-factory.js';
import { KEEP_ALIVE_TIMEOUT_MS, startEntryServer, type EntryServer } from './entry-server.js';
import { EntryTask } from './entry-task.js';
import type { HttpExchange } from './http-exchange.js';
import { ParentLedger } from './parent-ledger.js';
import { toProblemAnswer } from './problem-document.js';
import { ServiceCallRouter } from './service-call-router.js';
import { TargetCaller } from './target-caller.js';

/** Time for peers and callers to learn of a planned stop while the node still serves. */
const LEAVING_PHASE_MS = 1_500;
/** Longest wait at the stop for requests that arrived after the drain. */
const STOP_ANSWER_TIMEOUT_MS = 2_000;
const IDLE_CHECK_INTERVAL_MS = 20;
/** Longest wait for idle connections to close: longer than the time announced to callers. */
const IDLE_CONNECTIONS_TIMEOUT_MS = KEEP_ALIVE_TIMEOUT_MS + 1_000;
const MAX_SEED = 2 ** 30;
const MAILBOX_FULL_RETRY_AFTER_MS = 200;

/** State of one node's plug-in. */
class EntrySide {
  private readonly task: EntryTask;
  private readonly refreshCall: CoalescedCall;
  private server: EntryServer | undefined;
  private draining = false;
  private unsubscribe: (() => void)[] = [];

  constructor(
    private readonly container: Container,
    private readonly router: ServiceCallRouter,
  ) {
    this.task = createTask(container, router);
    this.refreshCall = new CoalescedCall(container.get(Token.Clock), REFRESH_INTERVAL_MS, () => {
      this.refresh();
    });
  }

  async start(): Promise<void> {
    const settings = this.container.get(Token.Settings);
    const { listen, limits } = settings;
    const refresh = (): void => {
      this.refreshCall.request();
    };
    this.unsubscribe = [
      this.container.get(Token.Membership).subscribe(refresh),
      this.container.get(Token.ConfigStore).subscribe(refresh),
    ];
    const reports = new ClientLimitReports({
      port: 'entry',
      hits: this.container.get(Token.Metrics).limitHits,
      clock: this.container.get(Token.Clock),
      log: this.container.get(Token.EventLog),
    });
    this.server = await startEntryServer({
      ...splitAddress(listen.entry),
      framework: 'node-http',
      binder: this.container.get(Token.PortBinder),
      headersTimeoutMs: limits.requestReadTimeoutMs,
      limits: callerLimits(settings),
      reports,
      clock: this.container.get(Token.Clock),
      onExchange: (exchange) => {
        this.accept(exchange);
      },
      onBadInput: (failure) => this.answerBadInput(failure),
    });
    this.refresh();
  }

  /**
   * Planned stop. First, peers are notified while callers are still served and asked to close
   * their connections. Then new requests are refused as not run. Calls by back ends are served
   * throughout, also on new connections until no attempt runs here, because running attempts need
   * them. After that, new connections are refused, and open ones close after their last answers.
   */
  async drain(): Promise<void> {
    const clock = this.container.get(Token.Clock);
    const end = clock.now() + this.container.get(Token.Settings).stopTimeoutMs;
    this.draining = true;
    this.container.get(Token.Membership).update({ ready: false });
    this.task.post({ type: 'phase', phase: 'leaving' });
    await this.sleep(Math.min(LEAVING_PHASE_MS, end - clock.now()));
    this.task.post({ type: 'phase', phase: 'refusing' });
    const dispatcher = this.container.get(Token.TargetDispatcher);
    await this.waitUntil(end, () => dispatcher.inProgress === 0);
    this.server?.stopListening();
    const running = (): number =>
      this.task.inProgress +
      this.router.inProgress +
      dispatcher.inProgress +
      this.unfinishedExchanges;
    await this.waitUntil(end, () => running() === 0);
    const idleEnd = Math.min(end, clock.now() + IDLE_CONNECTIONS_TIMEOUT_MS);
    await this.waitUntil(idleEnd, () => (this.server?.connections ?? 0) + running() === 0);
    await this.waitUntil(end, () => running() === 0);
  }

  async stop(): Promise<void> {
    for (const unsubscribe of this.unsubscribe) unsubscribe();
    this.refreshCall.cancel();
    if (this.draining) await this.waitForExchanges();
    await this.server?.close();
    this.task.close();
  }

  /** Waits for the answers to requests that arrived since the drain, mainly calls by back ends. */
  private async waitForExchanges(): Promise<void> {
    const end = this.container.get(Token.Clock).now() + STOP_ANSWER_TIMEOUT_MS;
    await this.waitUntil(end, () => this.task.inProgress + this.unfinishedExchanges === 0);
  }

  /** Requests whose answers are not fully written. */
  private get unfinishedExchanges(): number {
    return this.server?.unfinishedExchanges ?? 0;
  }

  private accept(exchange: HttpExchange): void {
    if (this.task.post({ type: 'exchange', exchange })) return;
    const { node } = this.container.get(Token.Settings);
    const options = { retryAfterMs: MAILBOX_FULL_RETRY_AFTER_MS };
    const failure = createFailure(ResultCode.MailboxFull, 'too many requests', options);
    exchange.answer(toProblemAnswer(failure, node.id), true);
  }

  private answerBadInput(failure: Failure): HttpAnswer {
    const { code, detail } = failure;
    this.container.get(Token.EventLog).emit(Event.EntryInputRejected, { code, detail });
    const metrics = this.container.get(Token.Metrics);
    metrics.requests.inc({ service: '', kind: '', code: String(code) });
    return toProblemAnswer(failure, this.container.get(Token.Settings).node.id);
  }

  private refresh(): void {
    this.router.refresh();
    const membership = this.container.get(Token.Membership);
    const ready = this.container.get(Token.ConfigStore).version > 0 && !this.draining;
    if (membership.self().ready !== ready) membership.update({ ready });
  }

  private sleep(delayMs: number): Promise<void> {
    const clock = this.container.get(Token.Clock);
    return new Promise((resolve) => clock.schedule(Math.max(0, delayMs), resolve));
  }

  private async waitUntil(end: number, done: () => boolean): Promise<void> {
    const clock = this.container.get(Token.Clock);
    while (!done() && clock.now() < end) await this.sleep(IDLE_CHECK_INTERVAL_MS);
  }
}

function createRouter(container: Container): ServiceCallRouter {
  const settings = container.get(Token.Settings);
  const clock = container.get(Token.Clock);
  const config = container.get(Token.ConfigStore);
  const placement = new TargetPlacement(container.get(Token.Membership), config);
  return new ServiceCallRouter({
    settings,
    config,
    claims: container.get(Token.ClaimService),
    policy: requirePolicy(settings.overload.policy),
    placement,
    caller: new TargetCaller(
      settings.node.id,
      placement,
      container.get(Token.TargetDispatcher),
      container.get(Token.PeerNetwork),
      clock,
    ),
    clock,
    log: container.get(Token.EventLog),
    incarnation: clock.wallNow().toString(36),
    seed: randomInt(MAX_SEED),
  });
}

function createTask(container: Container, router: ServiceCallRouter): EntryTask {
  const settings = container.get(Token.Settings);
  const clock = container.get(Token.Clock);
  const config = container.get(Token.ConfigStore);
  const parents = new ParentLedger(
    settings.node.id,
    container.get(Token.TargetDispatcher),
    config,
    container.get(Token.PeerNetwork),
    clock,
  );
  return new EntryTask({
    nodeId: settings.node.id,
    mailboxCapacity: settings.limits.maxMailboxLength,
    requestReadTimeoutMs: settings.limits.requestReadTimeoutMs,
    config,
    calls: new CallFactory(clock, parents),
    router,
    parents,
    buffers: container.get(Token.ByteBudget),
    clock,
    log: container.get(Token.EventLog),
    metrics: container.get(Token.Metrics),
  });
}

const sides = new WeakMap<Container, EntrySide>();

registerPlugin({
  name: 'entry',
  order: StartOrder.Entry,
  bind(container) {
    container.bind(Token.CallRouter).toDynamicValue(() => createRouter(container));
  },
  async start(container) {
    const router = container.get(Token.CallRouter) as ServiceCallRouter;
    const side = new EntrySide(container, router);
    sides.set(container, side);
    await side.start();
  },
  async drain(container) {
    await sides.get(container)?.drain();
  },
  async stop(container) {
    await sides.get(container)?.stop();
  },
});

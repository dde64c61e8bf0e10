/** Handles callers' requests: reads each one, finds its route, sends it to a target and answers it. */
import { createHash } from 'node:crypto';
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../../core/failure.js';
import { rankOf, type RequestContext } from '../../core/request.js';
import { isLoadRefusal, ResultCode } from '../../core/result-code.js';
import type { Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { NodeDirectory } from '../directory/node-directory.js';
import type { AttemptAnswer, AttemptCall } from '../link/link-messages.js';
import type { QuotaDecision, QuotaToken } from '../../core/quota/quota-share.js';
import { isTokenReturned } from '../quota/returned-tokens.js';
import type { TenantQuotas } from '../quota/tenant-quotas.js';
import type { Authorized, RequestAuthorizer } from '../tenants/request-authorizer.js';
import type { ForwardedFields } from '../forwarded-fields.js';
import type { FieldNames } from '../platform-adapter.js';
import type { RequestQuarantine } from '../quarantine/request-quarantine.js';
import type { Route, RouteTable } from '../rules/route-table.js';
import { criticalityOf } from '../rules/routing-rules.js';
import type { ObservedCosts } from '../admission/observed-costs.js';
import type { ActiveRules } from '../rules/active-rules.js';
import type { ConnectionSide, AcceptedRequest } from '../../http/caller-connection.js';
import type { BodyIntake } from './body-intake.js';
import { BodyReader, tooLarge } from './body-reader.js';
import type { CallerAnswer, CallerExchange } from './caller-exchange.js';
import type { ExchangeHandler } from './entry-listener.js';
import { createDrainingFailure, type PlannedStop } from './planned-stop.js';
import { noRoute, notReady, overLimit, tooManyRequests, uncounted } from './entry-failures.js';
import { createProblemAnswer } from './problem-answer.js';
import type { SharedAdmission } from '../admission/shared-admission.js';
import type { TargetGateway } from '../target/target-gateway.js';
import { RoutedRequest, type RequestEnd } from './routed-request.js';
import type { ServiceRouters } from './service-routers.js';

export interface EntryServiceOptions {
  readonly fields: FieldNames;
  readonly forwardedFields: ForwardedFields;
  /** See {@link PlatformAdapter.parentOf}. */
  parentOf(attemptId: string): string | undefined;
  /** Holds the local target's requests, for which it makes calls. */
  readonly gateway: TargetGateway;
  /** Service on this machine, sent to targets as the caller of the requests that begin here. */
  readonly callerService: string;
  readonly rules: ActiveRules;
  readonly routers: ServiceRouters;
  readonly directory: NodeDirectory;
  readonly plannedStop: PlannedStop;
  readonly quarantine: RequestQuarantine;
  readonly authorizer: RequestAuthorizer;
  readonly quotas: TenantQuotas;
  readonly admission: SharedAdmission;
  readonly observedCosts: ObservedCosts;
  readonly bodies: BodyIntake;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Retries that all nodes together may send beyond the retry ratio. */
  retrySlack(): number;
  onRequestEnd(kind: string, code: number, seconds: number): void;
  /** A connection ended before a request was fully answered. */
  onUnanswered(endedBy: ConnectionSide): void;
}

type Answer = (answer: CallerAnswer) => void;
type Defer = (work: () => void) => void;

const MS_PER_SECOND = 1_000;
const NO_KIND = '';
const NO_BODY = new Uint8Array(0);
/** Lowest status that stands for a failure of the target. */
const SERVER_ERROR = 500;

/** Handles the requests of an {@link EntryListener}. */
export class EntryService implements ExchangeHandler {
  constructor(private readonly options: EntryServiceOptions) {}

  handle(exchange: CallerExchange, answer: Answer, defer: Defer): AcceptedRequest {
    const request = new EntryRequest(this.options, exchange, answer, defer);
    request.start();
    return request;
  }

  onRequestDropped(exchange: CallerExchange): void {
    const { log, fields } = this.options;
    log.emit(Event.RequestAfterClose, { id: exchange.field(fields.attemptId) });
  }

  onTooManyRequests(): CallerAnswer {
    const failure = tooManyRequests();
    this.options.onRequestEnd(NO_KIND, failure.code, 0);
    return createProblemAnswer(failure);
  }

  onUnwritableAnswer(exchange: CallerExchange, failure: Failure): CallerAnswer {
    const { log, fields } = this.options;
    const { code, detail } = failure;
    log.emit(Event.AnswerUnwritable, { id: exchange.field(fields.attemptId), code, detail });
    return createProblemAnswer(failure);
  }
}

/** One request from its head to its answer. */
class EntryRequest implements AcceptedRequest {
  private readonly receivedAt: number;
  private readonly reservation;
  private routed: RoutedRequest | undefined;
  private context: RequestContext | undefined;
  private token: QuotaToken | undefined;
  /** Service chosen for the request; undefined until it is decided on or routed. */
  private service: string | undefined;
  /** Cancels the wait for the decision on the tenant's limit. */
  private cancelWait: () => void = () => {};
  /** Stops reading the body. */
  private cancelRead: () => void = () => {};
  /** Whether the request was answered or its connection ended. */
  private ended = false;

  constructor(
    private readonly options: EntryServiceOptions,
    private readonly exchange: CallerExchange,
    private readonly answer: Answer,
    private readonly defer: Defer,
  ) {
    this.receivedAt = exchange.receivedAt;
    this.reservation = options.bodies.reserve();
  }

  start(): void {
    const { rules } = this.options;
    const { exchange } = this;
    const { table } = rules;
    if (table === undefined) {
      this.refuse(notReady());
    } else {
      const route = table.find(exchange.field('host') ?? '', exchange.path);
      if (route === undefined) this.refuse(noRoute(exchange, rules.version));
      else this.authorize(table, route);
    }
  }

  onConnectionEnd(endedBy: ConnectionSide, answered: boolean): void {
    const event = answered ? Event.AnswerCut : Event.RequestUnanswered;
    this.log(event, this.context, { endedBy });
    this.options.onUnanswered(endedBy);
    if (!this.ended) this.noteCost();
    this.ended = true;
    this.cancelWait();
    this.cancelRead();
    this.reservation.release();
    this.routed?.cancel();
  }

  giveUp(): void {
    if (this.routed !== undefined) this.routed.giveUp(createDrainingFailure());
    else this.refuse(createDrainingFailure());
  }

  /** Checks the authorization before the body is read; {@link readBody} checks it again afterwards. */
  private authorize(table: RouteTable, route: Route): void {
    const authorized = this.checkAuthorization(table, route);
    if (authorized.isErr) {
      this.refuse(authorized.error);
      return;
    }
    // With a limit, the request is counted against it first, which needs the body to be read.
    const isLimited = authorized.value.tenant?.limit !== undefined;
    if (!isLimited && this.refuseSaturated(route, authorized.value)) return;
    this.readBody(table, route, authorized.value);
  }

  /**
   * Refuses a request of a caller that a short service has no room for. Calls of targets are always admitted
   * here, since work was spent on their requests.
   */
  private refuseSaturated(route: Route, authorized: Authorized): boolean {
    const { admission, fields, parentOf } = this.options;
    const attemptId = this.exchange.field(fields.attemptId);
    if (!admission.isOn || attemptId === undefined || parentOf(attemptId) !== undefined) {
      return false;
    }
    this.service = route.nextService();
    const context = this.createContext(route, this.service, attemptId, authorized);
    const { aimMs } = route.rules;
    const callerKey = (): string => callerKeyOf(this.exchange, context.tenant);
    const failure = admission.check({ context, aimMs, callerKey });
    if (failure !== undefined) this.refuse(failure, context);
    return failure !== undefined;
  }

  private checkAuthorization(table: RouteTable, route: Route): Result<Authorized, Failure> {
    const { authorizer, fields, parentOf, gateway } = this.options;
    const parentId = parentOf(this.exchange.field(fields.attemptId) ?? '');
    return authorizer.authorize(table, route, {
      apiKey: this.exchange.field(fields.apiKey),
      isCall: parentId !== undefined,
      isParentRunning: parentId !== undefined && gateway.contextOf(parentId) !== undefined,
    });
  }

  private readBody(table: RouteTable, route: Route, authorized: Authorized): void {
    const { exchange, reservation } = this;
    if (!exchange.hasBody) {
      this.admitByLimit(route, NO_BODY, authorized);
      return;
    }
    const { maxBodyBytes: maxBytes } = table.rules.limits;
    if ((exchange.declaredBodyBytes ?? 0) > maxBytes) {
      this.refuse(tooLarge(maxBytes));
      return;
    }
    const limits = { maxBytes, reservation, dueAt: this.receivedAt + this.timeoutOf(route) };
    const reader = new BodyReader(exchange, this.options.bodies, limits, (body) => {
      if (!(body instanceof Uint8Array)) {
        this.refuse(body);
        return;
      }
      this.defer(() => {
        if (!this.ended) this.onBody(table, route, body, authorized);
      });
    });
    this.cancelRead = () => {
      reader.cancel();
    };
  }

  private onBody(table: RouteTable, route: Route, body: Uint8Array, authorized: Authorized): void {
    const rechecked =
      body.length === 0 ? Result.ok(authorized) : this.checkAuthorization(table, route);
    if (rechecked.isErr) this.refuse(rechecked.error);
    else this.admitByLimit(route, body, rechecked.value);
  }

  /** Counts the request against its tenant's limit, which may require a request to another node. */
  private admitByLimit(route: Route, body: Uint8Array, authorized: Authorized): void {
    const { name, limit } = authorized.tenant ?? {};
    if (name === undefined || limit === undefined) {
      this.route(route, body, authorized);
      return;
    }
    this.cancelWait = this.options.quotas.admit(name, limit, (decision) => {
      this.onQuotaDecision(decision, () => {
        if (!this.refuseSaturated(route, authorized)) this.route(route, body, authorized);
      });
    });
  }

  private onQuotaDecision(decision: QuotaDecision, proceed: () => void): void {
    if (decision.type === 'granted') {
      this.token = decision.token;
      if (this.ended) this.returnToken();
      else proceed();
    } else {
      this.refuse(decision.type === 'refused' ? overLimit(decision.retryAfterMs) : uncounted());
    }
  }

  private returnToken(): void {
    if (this.token !== undefined) this.options.quotas.returnGrant(this.token);
    this.token = undefined;
  }

  private route(route: Route, body: Uint8Array, authorized: Authorized): void {
    const { fields, routers, directory, clock } = this.options;
    const attemptId = this.exchange.field(fields.attemptId);
    if (attemptId === undefined) {
      this.refuse(createFailure(ResultCode.InvalidField, `${fields.attemptId} is missing`));
      return;
    }
    const service = this.service ?? route.nextService();
    const context = this.createContext(route, service, attemptId, authorized);
    this.context = context;
    const call = this.createCall(context, attemptId, body, authorized);
    const { quarantine } = this.options;
    const stopping = this.checkPlannedStop(context, attemptId);
    if (stopping !== undefined) {
      this.refuse(stopping, context);
      return;
    }
    const admission = quarantine.admit(call);
    if (admission.type === 'refused') {
      this.refuse(admission.failure, context);
      return;
    }
    this.routed = new RoutedRequest({
      context,
      call,
      maxAttempts: route.rules.maxAttempts,
      service: routers.of(service),
      clock,
      retrySlack: this.options.retrySlack() / directory.size,
      portOf: (node) => directory.portOf(node),
      ...(admission.type === 'trial' ? { onlyNode: admission.node } : {}),
      mayRetry: () => quarantine.mayRetry(call),
      onLoad: (load) => {
        this.options.admission.noteLoad(load);
      },
      onEnd: (end) => {
        this.noteDownstream(context, attemptId, end);
        this.onEnd(context, attemptId, end);
      },
    });
    this.routed.start();
  }

  /** Time from the head of the request to its deadline, in milliseconds. */
  private timeoutOf({ rules }: Route): number {
    const callerTimeLeftMs = Number(this.exchange.field(this.options.fields.timeLeft));
    return callerTimeLeftMs > 0 ? Math.min(callerTimeLeftMs, rules.timeoutMs) : rules.timeoutMs;
  }

  /** Calls of the local target inherit the criticality of the request that they are made for. */
  private createContext(
    route: Route,
    service: string,
    attemptId: string,
    { tenant }: Authorized,
  ): RequestContext {
    const { parentOf, gateway } = this.options;
    const { rules } = route;
    const parentId = parentOf(attemptId);
    const parent = parentId === undefined ? undefined : gateway.contextOf(parentId);
    return {
      requestId: parent?.requestId ?? attemptId,
      tenant: tenant?.name ?? parent?.tenant ?? '',
      service,
      kind: rules.name,
      criticality: parent?.criticality ?? criticalityOf(tenant?.rank, rules.rank),
      deadline: this.receivedAt + this.timeoutOf(route),
      dueAt: this.receivedAt + rules.aimMs,
      idempotent: rules.idempotent,
      depth: parentId === undefined ? 0 : (parent?.depth ?? 0) + 1,
    };
  }

  /** Always admits calls for a request that runs at the local target: refusing them would fail that request. */
  private checkPlannedStop({ deadline }: RequestContext, attemptId: string): Failure | undefined {
    const { parentOf, gateway, plannedStop, clock } = this.options;
    const parentId = parentOf(attemptId);
    if (parentId !== undefined && gateway.contextOf(parentId) !== undefined) return undefined;
    return plannedStop.check(clock.now(), deadline);
  }

  private createCall(
    context: RequestContext,
    attemptId: string,
    body: Uint8Array,
    { authorization }: Authorized,
  ): AttemptCall {
    const { parentOf, gateway } = this.options;
    const parentId = parentOf(attemptId);
    const { method, path } = this.exchange;
    const fields = this.options.forwardedFields.fromCaller(this.exchange.fields);
    const { requestId, service, kind, idempotent, depth, criticality } = context;
    return {
      attemptId,
      requestId,
      service,
      kind,
      rank: rankOf(criticality),
      idempotent,
      depth,
      repeated: parentId !== undefined && gateway.isRetry(parentId),
      committed: parentId !== undefined && gateway.isCommitted(parentId),
      timeLeftMs: 0,
      dueInMs: 0,
      callerService: this.options.callerService,
      ...(authorization === undefined ? {} : { authorization }),
      method,
      path,
      fields,
      body,
    };
  }

  /**
   * Reports the result to the gate of the local target, so that the gate refuses requests that would be
   * refused downstream before work is spent on them.
   */
  private noteDownstream(
    { service, kind }: RequestContext,
    attemptId: string,
    end: RequestEnd,
  ): void {
    const { parentOf, gateway, routers, clock } = this.options;
    const parentId = parentOf(attemptId);
    if (parentId === undefined) return;
    const threshold = routers.of(service).router.threshold(clock.now(), kind);
    gateway.noteDownstream(parentId, service, threshold, this.routed?.shortService);
    if (end.type === 'answer' && end.status < SERVER_ERROR) gateway.noteCallServed(parentId);
    if (isRefusedForLoad(end)) gateway.noteCallRefused(parentId);
  }

  private onEnd(context: RequestContext, attemptId: string, end: RequestEnd): void {
    if (end.type === 'refusal') {
      this.refuse(end.failure, context);
      return;
    }
    this.ended = true;
    this.reservation.release();
    this.noteCost(end);
    this.log(Event.RequestServed, context, { status: end.status });
    this.recordMetrics(context.kind, ResultCode.Ok);
    const fields = this.options.forwardedFields.toCaller(end.fields, attemptId);
    this.answer({ ...end, fields });
  }

  private refuse(failure: Failure, context?: RequestContext): void {
    if (this.ended) return;
    this.ended = true;
    this.cancelWait();
    this.cancelRead();
    this.reservation.release();
    this.noteCost();
    const { code, detail, execution } = failure;
    if (isTokenReturned(failure)) this.returnToken();
    const event = execution === 'not-run' ? Event.RequestRefused : Event.RequestFailed;
    this.log(event, context, { code, detail, execution });
    this.recordMetrics(context?.kind ?? NO_KIND, code);
    this.answer(createProblemAnswer(failure));
  }

  /** @param answer absent: the request has none */
  private noteCost(answer?: AttemptAnswer): void {
    const { observedCosts, fields } = this.options;
    observedCosts.onEnd(this.exchange.field(fields.attemptId), this.context, answer);
  }

  private log(
    event: Event,
    context: RequestContext | undefined,
    outcome: Readonly<Record<string, string | number>>,
  ): void {
    const { fields, log, clock, rules } = this.options;
    if (log.writes?.(event) === false) return;
    log.emit(event, {
      id: this.exchange.field(fields.attemptId),
      request: context?.requestId,
      kind: context?.kind,
      service: context?.service,
      tenant: context?.tenant === '' ? undefined : context?.tenant,
      rules: rules.version,
      tried: this.routed?.triedNodes.join(' '),
      ms: Math.round(clock.now() - this.receivedAt),
      ...outcome,
    });
  }

  private recordMetrics(kind: string, code: ResultCode): void {
    const seconds = (this.options.clock.now() - this.receivedAt) / MS_PER_SECOND;
    this.options.onRequestEnd(kind, code, seconds);
  }
}

/** Whether a call was refused for load, or failed because a call that it made was. */
function isRefusedForLoad(end: RequestEnd): boolean {
  if (end.type === 'answer') return end.refusedBelow === true;
  return isLoadRefusal(end.failure.code);
}

/** Digest by which a caller that repeats a refused request is known. */
function callerKeyOf({ request, method, path }: CallerExchange, tenant: string): string {
  const text = `${request.socket.remoteAddress ?? ''} ${tenant} ${method} ${path}`;
  return createHash('sha256').update(text).digest('base64url');
}

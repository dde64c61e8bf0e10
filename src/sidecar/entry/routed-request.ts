/**
 * One request from its route to its final result: admission, choice of a target, repeats within
 * the bounds, the end at the deadline. What is known of execution is kept over all tries.
 */
import { createFailure, type Failure } from '../../core/failure.js';
import type { AttemptOutcome, LoadReport, RequestContext } from '../../core/request.js';
import { ResultCode, type Execution } from '../../core/result-code.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import { ageAuthorization } from '../link/age-authorization.js';
import { createNotOffered, type AttemptPort, type CancelTry } from '../link/attempt-port.js';
import type {
  AttemptAnswer,
  AttemptCall,
  AttemptEnd,
  AttemptFailure,
} from '../link/link-messages.js';
import type { CalledService } from './service-routers.js';

/** The final result of a request. */
export type RequestEnd = AttemptAnswer | { readonly type: 'refusal'; readonly failure: Failure };

/** What a request is routed with. */
export interface RoutedRequestOptions {
  readonly context: RequestContext;
  /** The request as it goes to a target; the time left is set at each try. */
  readonly call: AttemptCall;
  readonly maxAttempts: number;
  readonly service: CalledService;
  readonly clock: Clock;
  /** This node's part of the repeats that all nodes have together. */
  readonly repeatSlack: number;
  portOf(node: string): AttemptPort | undefined;
  /** The only node that the request may go to; absent: the router chooses. */
  readonly onlyNode?: string;
  /** Whether the request may go to another target after one has failed it or ended under it. */
  mayRepeat(): boolean;
  /** Called exactly once, unless the request is cancelled first. */
  onEnd(end: RequestEnd): void;
}

/** Tries at other nodes that refuse without offering the request to their target. */
const MAX_TRIES = 6;
/** The same when nodes refuse for load: each further try would cost all of them processor time. */
const MAX_TRIES_UNDER_LOAD = 2;
/** The other side ends this much earlier, so that its result still arrives, in milliseconds. */
const LINK_MARGIN_MS = 8;
const LINK_MARGIN_SHARE = 0.1;
const DEFAULT_RETRY_MS = 200;
/** A target's own failure; others (a deadline, a planned stop) would be the same elsewhere. */
const INTERNAL_SERVER_ERROR = 500;

/** The try that is under way. */
interface CurrentTry {
  readonly node: string;
  /** Local monotonic time at which it was sent. */
  readonly startedAt: number;
  cancel: CancelTry;
}

/** See the module comment. */
export class RoutedRequest {
  private ended = false;
  private current: CurrentTry | undefined;
  private cancelDeadline: CancelTimer = () => {};
  private readonly tried: string[] = [];
  /** Targets that the request was offered to. */
  private offers = 0;
  private mayHaveRun = false;
  /** What a target answered before the request was sent to another; it stands if that fails too. */
  private failedAnswer: AttemptAnswer | undefined;
  /** Boot time at which the request was authorized; undefined: it needs no authorization. */
  private readonly authorizedAt: number | undefined;

  constructor(private readonly options: RoutedRequestOptions) {
    const { call, clock } = options;
    this.authorizedAt = call.authorization && clock.bootNow();
  }

  /** Nodes tried so far, for logs. */
  get triedNodes(): readonly string[] {
    return this.tried;
  }

  start(): void {
    const { service, clock, context } = this.options;
    const now = clock.now();
    service.repeats.noteRequest(now, this.options.call.repeated);
    const refusal = service.router.admit(now, context);
    if (refusal !== undefined) {
      const { code, detail, retryAfterMs } = refusal;
      this.refuse(createFailure(code, detail, { execution: 'not-run', retryAfterMs }));
      return;
    }
    this.cancelDeadline = clock.schedule(context.deadline - now, () => {
      this.onDeadline();
    });
    this.tryOnce();
  }

  /** The caller went away. */
  cancel(): void {
    if (this.ended) return;
    this.finish();
    this.breakOff('cancelled');
  }

  /** Ends with this failure now; what may have run is said so. */
  giveUp(failure: Failure): void {
    if (this.ended) return;
    this.breakOff('cancelled');
    this.refuse(failure);
  }

  private tryOnce(): void {
    const { service, clock, context, portOf } = this.options;
    const now = clock.now();
    const node = this.pickNode(now);
    if (node === undefined) return;
    this.tried.push(node);
    const timeLeftMs = context.deadline - now;
    const margin = Math.min(LINK_MARGIN_MS, timeLeftMs * LINK_MARGIN_SHARE);
    const repeated = this.options.call.repeated || this.offers > 0;
    const dueInMs = (context.dueAt ?? context.deadline) - now;
    const call = {
      ...this.options.call,
      ...this.presentAuthorization(),
      repeated,
      timeLeftMs: timeLeftMs - margin,
      dueInMs,
    };
    const current: CurrentTry = { node, startedAt: now, cancel: () => false };
    this.current = current;
    service.noteTryStart();
    const port = portOf(node);
    if (port === undefined) {
      const detail = `${node} is not known any more`;
      this.onTryEnd(createNotOffered('unreachable', ResultCode.NoTargetAvailable, detail));
      return;
    }
    current.cancel = port.dispatch(call, (end) => {
      if (this.current === current) this.onTryEnd(end);
    });
  }

  /** The node to try next; when there is none the request is refused. */
  private pickNode(now: number): string | undefined {
    const { service, context, onlyNode } = this.options;
    if (onlyNode !== undefined) return onlyNode;
    const picked = service.router.pick(now, context, this.tried);
    if (picked.type === 'target') return picked.target;
    const { code, detail, retryAfterMs } = picked.refusal;
    this.refuse(createFailure(code, detail, { execution: 'not-run', retryAfterMs }));
    return undefined;
  }

  private presentAuthorization(): Pick<AttemptCall, 'authorization'> {
    if (this.authorizedAt === undefined) return {};
    const { call, clock } = this.options;
    return ageAuthorization(call.authorization, clock.bootNow() - this.authorizedAt);
  }

  /** Ends the try that is under way; routing must hear of the end of every try. */
  private breakOff(outcome: AttemptOutcome): void {
    const { current } = this;
    if (current === undefined) return;
    this.current = undefined;
    if (current.cancel()) this.mayHaveRun = true;
    this.report(current, this.mayHaveRun ? outcome : 'cancelled');
  }

  private onTryEnd(end: AttemptEnd): void {
    const { current } = this;
    if (current === undefined) return;
    this.current = undefined;
    this.report(current, end.type === 'answer' ? 'success' : end.outcome, end.load);
    if (end.type === 'answer') {
      this.onAnswer(end, current.startedAt);
      return;
    }
    if (end.offered) this.offers += 1;
    if (end.execution !== 'not-run') this.mayHaveRun = true;
    if (this.shouldRepeat(end)) this.tryOnce();
    else this.refuse(createFailure(end.code, end.detail, toOptions(end)));
  }

  private onAnswer(answer: AttemptAnswer, startedAt: number): void {
    this.offers += 1;
    this.mayHaveRun = true;
    if (this.shouldRepeatFailed(answer, startedAt)) {
      this.failedAnswer = answer;
      this.tryOnce();
      return;
    }
    this.finish();
    this.options.onEnd(answer);
  }

  /**
   * Whether a target's own failure is worth a try at another. Not while the target or what it calls refuses
   * for load, since most runs fail for that then, and not when as much time as the first try took is no
   * longer left.
   */
  private shouldRepeatFailed({ status, load }: AttemptAnswer, startedAt: number): boolean {
    if (status !== INTERNAL_SERVER_ERROR || (load?.threshold ?? 0) > 0) return false;
    const { context, maxAttempts, clock } = this.options;
    const now = clock.now();
    if (!context.idempotent || this.offers >= maxAttempts) return false;
    if (!this.options.mayRepeat()) return false;
    if (context.deadline - now < now - startedAt) return false;
    return this.spendRepeat(now);
  }

  private spendRepeat(now: number): boolean {
    const { service, repeatSlack, call } = this.options;
    return service.repeats.spend(now, repeatSlack, !call.committed);
  }

  private report(
    { node, startedAt }: CurrentTry,
    outcome: AttemptOutcome,
    load?: LoadReport,
  ): void {
    const now = this.options.clock.now();
    const { service, onlyNode } = this.options;
    service.noteTryEnd();
    // The router did not choose it, and does not count it as under way.
    if (onlyNode !== undefined) return;
    service.router.onOutcome(now, {
      target: node,
      kind: this.options.context.kind,
      outcome,
      latencyMs: now - startedAt,
      ...(load === undefined ? {} : { load }),
    });
  }

  /** Takes from the repeat budget when it says yes to a repeat that a target will see. */
  private shouldRepeat({ outcome }: AttemptFailure): boolean {
    const { context, maxAttempts, clock, onlyNode } = this.options;
    if (onlyNode !== undefined) return false;
    if (this.mayHaveRun && !context.idempotent) return false;
    if (this.tried.length >= MAX_TRIES || this.offers >= maxAttempts) return false;
    if (outcome === 'timeout' || outcome === 'cancelled') return false;
    if (outcome === 'overloaded' && this.tried.length >= MAX_TRIES_UNDER_LOAD) return false;
    const now = clock.now();
    if (now >= context.deadline) return false;
    if (this.offers === 0) return true;
    return this.options.mayRepeat() && this.spendRepeat(now);
  }

  private onDeadline(): void {
    if (this.ended) return;
    this.breakOff('timeout');
    const execution = this.mayHaveRun ? 'unknown' : 'not-run';
    const detail = 'no answer within the time';
    this.refuse(createFailure(ResultCode.DeadlineExceeded, detail, { execution }));
  }

  private refuse(failure: Failure): void {
    if (this.ended) return;
    this.finish();
    if (this.failedAnswer !== undefined) {
      this.options.onEnd(this.failedAnswer);
      return;
    }
    const execution: Execution = this.mayHaveRun ? 'unknown' : failure.execution;
    const retryAfterMs = failure.retryAfterMs ?? DEFAULT_RETRY_MS;
    this.options.onEnd({ type: 'refusal', failure: { ...failure, execution, retryAfterMs } });
  }

  private finish(): void {
    this.ended = true;
    this.cancelDeadline();
  }
}

function toOptions({ execution, retryAfterMs }: AttemptFailure): {
  execution: Execution;
  retryAfterMs?: number;
} {
  return retryAfterMs === undefined ? { execution } : { execution, retryAfterMs };
}

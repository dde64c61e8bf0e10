/**
 * Interfaces of the overload decision logic. Implementations are pure and
 * deterministic: each event carries `now` (milliseconds, monotonic), and actions are
 * return values. A node, the emulator and the tests drive the same code.
 *
 * See docs/design/overload-control.md.
 */
import type { AttemptOutcome, LoadReport, RequestContext } from './request.js';
import type { ResultCode } from './result-code.js';

/** An immediate, final refusal with the time after which a retry is worthwhile. */
export interface Refusal {
  readonly code: ResultCode;
  readonly detail: string;
  readonly retryAfterMs: number;
}

/** Action that a target gate requires for a request offered in this or an earlier call. */
export type GateAction =
  | { readonly type: 'dispatch'; readonly ticket: number }
  | { readonly type: 'refuse'; readonly ticket: number; readonly refusal: Refusal };

/**
 * Admission in front of one target: concurrency limit, priority queue and deadlines.
 * Every offered ticket gets exactly one `dispatch` or `refuse` action, from the call
 * itself or from a later one, unless it was cancelled while it waited.
 */
export interface TargetGate {
  /** Offers a request; `ticket` is unique per gate. */
  offer(now: number, ticket: number, request: RequestContext): readonly GateAction[];
  /** Ends a dispatched ticket; may dispatch or refuse waiting ones. */
  complete(now: number, ticket: number, outcome: AttemptOutcome): readonly GateAction[];
  /** Withdraws a waiting ticket whose caller has gone away. */
  cancel(now: number, ticket: number): readonly GateAction[];
  /** Called when the time of `nextTimer` is reached. */
  onTimer(now: number): readonly GateAction[];
  /** Time of the next needed `onTimer`, if any. */
  nextTimer(): number | undefined;
  /**
   * Load to put on the answer to `request`. Its threshold is that of the request's kind,
   * because kinds differ in the services that they call below; without a request it is
   * the gate's own.
   */
  report(now: number, request?: RequestContext): LoadReport;
  /**
   * Merges the admission threshold learned from a service below this target.
   *
   * @param kind kind, at this gate, of the request that made the call; absent: every kind
   * @param shortService service that lacks slots, as load reports of `service` name it; absent: not named
   */
  noteDownstream(
    now: number,
    service: string,
    threshold: number,
    kind?: string,
    shortService?: string,
  ): void;
  /** Records that a run of this request was wasted because a call below it was refused for load. */
  noteWastedRun(now: number, request: RequestContext): void;
  /**
   * Records what an answer of the target states about the requests a second that it takes.
   *
   * @param sentAt when the request of the answer was sent
   * @param requestsPerSecond undefined: the answer states no limit
   * @returns actions for waiting tickets that a higher limit lets start
   */
  noteStatedLimit(
    now: number,
    sentAt: number,
    requestsPerSecond: number | undefined,
  ): readonly GateAction[];
  /** Requests a second that the target takes from all nodes, as it states; undefined: no limit. */
  statedLimit(): number | undefined;
  /**
   * Records the load that an answer of the target states. The first one with a slowdown turns on
   * queueing by objective, unless the options of the gate exclude it.
   *
   * @returns actions for waiting tickets that the gate now decides differently
   */
  noteStatedLoad(now: number, load: StatedLoad): readonly GateAction[];
}

/** Load that a target states on its answers. */
export interface StatedLoad {
  /** Requests that it runs. */
  readonly running: number;
  /** Requests that wait inside it. */
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on its machine at present; 1 is as usual; absent: not stated. */
  readonly slowdown?: number;
}

/** Parameters of a target gate that come from the rules. */
export interface TargetGateOptions {
  /** Initial concurrency limit (the target's slots as far as the operator knows). */
  readonly initialLimit: number;
  /** Upper bound of the limit: the target's connections. */
  readonly maxLimit: number;
  /** Seed of the gate's random numbers. */
  readonly seed: number;
  /** Whether a target that states its slowdown gets a queue by objective; absent: `auto`. */
  readonly objectiveQueue?: 'auto' | 'off';
}

/** A target as routing sees it. */
export interface TargetView {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  /** Whether some live node fronts the target and no node has seen it leaving. */
  readonly eligible: boolean;
  /** Incarnation of the target; knowledge of another one does not apply. Absent: unknown. */
  readonly incarnation?: string;
}

/** Outcome of a pick: a target, or a refusal of the attempt. */
export type PickResult =
  | { readonly type: 'target'; readonly target: string }
  | { readonly type: 'refuse'; readonly refusal: Refusal };

/** Whether to retry after a failed attempt. */
export type RetryDecision =
  | { readonly type: 'retry'; readonly delayMs: number }
  | { readonly type: 'give-up'; readonly refusal: Refusal };

/** The calling side for one service: admission at the entry, routing, retries. */
export interface ServiceRouter {
  /** Replaces the known targets (rules, membership or drain signs changed). */
  updateTargets(now: number, targets: readonly TargetView[]): void;
  /** Entry admission by criticality; `undefined` admits. */
  admit(now: number, request: RequestContext): Refusal | undefined;
  /** Chooses a target for the next attempt; `tried` are targets of earlier attempts. */
  pick(now: number, request: RequestContext, tried: readonly string[]): PickResult;
  /** Reports the end of an attempt that was picked. */
  onOutcome(now: number, outcome: AttemptReport): void;
  /** Decides on another attempt after `outcome`; consumes retry budget when it says retry. */
  decideRetry(now: number, request: RequestContext, state: RetryState): RetryDecision;
  /** Admission threshold of the service for a kind (lowest over its targets), 0 when idle. */
  threshold(now: number, kind?: string): number;
}

/** The end of one attempt as the router sees it. */
export interface AttemptReport {
  readonly target: string;
  /** Kind of the request at this service; determines which threshold the load carries. */
  readonly kind?: string;
  readonly outcome: AttemptOutcome;
  /** From dispatch to the end, in milliseconds. */
  readonly latencyMs: number;
  /** Load carried on the answer, when one came. */
  readonly load?: LoadReport;
  /** Retry time from a refusal, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** What is known when a retry is decided. */
export interface RetryState {
  /** Attempts made so far for this call at this hop, at least 1. */
  readonly attemptsMade: number;
  /** Attempts that the request's budget still allows. */
  readonly attemptsLeft: number;
  readonly lastOutcome: AttemptOutcome;
  /** Whether the last attempt may have taken effect. */
  readonly mayHaveRun: boolean;
  readonly retryAfterMs?: number;
}

/** Parameters of a service router that come from settings and rules. */
export interface ServiceRouterOptions {
  readonly service: string;
  readonly localZone: string;
  readonly localRegion: string;
  /** Seed of the router's random numbers. */
  readonly seed: number;
}

/** A named overload policy: creates gates and routers. Policies register under a name. */
export interface OverloadPolicy {
  readonly name: string;
  createTargetGate(options: TargetGateOptions): TargetGate;
  createServiceRouter(options: ServiceRouterOptions): ServiceRouter;
}

/** Prometheus metrics of a sidecar (prom-client). */
import { CRITICALITIES } from '../core/request.js';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { LeftOutLines } from '../kernel/line-output.js';

const NO_REQUEST_LIMIT = -1;
const NO_SLOWDOWN = -1;
const NEVER_CONFIRMED = -1;
const NOTHING_LEFT_OUT: LeftOutLines = { notRead: 0, refused: 0 };
const MS_PER_SECOND = 1_000;
const LATENCY_BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

export interface SidecarMetrics {
  readonly registry: Registry;
  /** Requests of callers, by route and result code; 0 stands for a target's answer. */
  readonly requests: Counter<'kind' | 'code'>;
  /** Requests whose connection closed before the complete answer, by the side that closed it. */
  readonly unanswered: Counter<'ended_by'>;
  /** Times that a limit on what clients may hold was reached, by port and limit. */
  readonly limitHits: Counter<'port' | 'limit'>;
  /** Time from the head of a request to its answer, in seconds. */
  readonly latency: Histogram<'kind'>;
  /** Requests that wait for or run at the local target. */
  readonly inProgress: Gauge;
  /** Requests a second that the local target takes, as it states; -1 without a limit. */
  readonly requestLimit: Gauge;
  /** Root requests refused for a short service. */
  readonly admissionRefusals: Counter<'service' | 'class'>;
  /** Share of the root requests of a class that a short service takes; absent while none is refused. */
  readonly admissionShare: Gauge<'service' | 'class'>;
  /** How long work takes on the machine of the local target, as it states; -1 when it does not. */
  readonly slowdown: Gauge;
  /** Version of the rules in force. */
  readonly rulesVersion: Gauge;
  /** Time since the rules were last confirmed to be the newest, in seconds; -1: never. */
  readonly rulesUnconfirmed: Gauge;
  /** Calls to the store that got no answer, by connection. */
  readonly storeUnanswered: Counter<'connection'>;
  /** Links to other nodes that are in use, by whether the other node responds. */
  readonly links: Gauge<'state'>;
  /** Requests that ran when a target crashed and that no target has answered since. */
  readonly suspects: Gauge;
  /** Suspects that are not sent to targets. */
  readonly quarantined: Gauge;
  /** Longest delay of the event loop in the last one to two seconds, in seconds. */
  readonly eventLoopDelay: Gauge;
  /** Attempts to bind a port that was taken, by port. */
  readonly takenPorts: Gauge<'port'>;
  /** Log lines that nobody read or that the output refused, since the start. */
  readonly logLinesLeftOut: Gauge<'reason'>;
}

/** Values that are read when the metrics are scraped. */
export interface MetricSources {
  inProgress(): number;
  requestLimit(): number | undefined;
  /** Shares by rank of the services that are short. */
  admissionShares(): readonly { readonly service: string; readonly shares: readonly number[] }[];
  slowdown(): number | undefined;
  rulesVersion(): number;
  rulesUnconfirmedMs(): number;
  linkCounts(): { readonly reachable: number; readonly unreachable: number };
  suspects(): number;
  quarantined(): number;
  eventLoopDelayMs(): number;
  takenPorts(): ReadonlyMap<string, number>;
  logLinesLeftOut(): LeftOutLines | undefined;
}

/** Creates the metrics in their own registry. */
export function createSidecarMetrics(sources: MetricSources): SidecarMetrics {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: 'sillshore_requests_total',
      help: 'Requests of callers by route and result code',
      labelNames: ['kind', 'code'],
      registers,
    }),
    unanswered: new Counter({
      name: 'sillshore_unanswered_requests_total',
      help: 'Requests whose connection ended before their whole answer',
      labelNames: ['ended_by'],
      registers,
    }),
    limitHits: new Counter({
      name: 'sillshore_client_limit_hits_total',
      help: 'Times that a limit on what clients may hold was reached, by port and limit',
      labelNames: ['port', 'limit'],
      registers,
    }),
    latency: new Histogram({
      name: 'sillshore_request_seconds',
      help: 'Time from the head of a request to its answer',
      labelNames: ['kind'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    inProgress: new Gauge({
      name: 'sillshore_target_in_progress',
      help: 'Requests that wait for or run at the own target',
      registers,
      collect() {
        this.set(sources.inProgress());
      },
    }),
    requestLimit: new Gauge({
      name: 'sillshore_target_request_limit',
      help: 'Requests a second that the own target takes, as it states; -1 without a limit',
      registers,
      collect() {
        this.set(sources.requestLimit() ?? NO_REQUEST_LIMIT);
      },
    }),
    admissionRefusals: new Counter({
      name: 'sillshore_admission_refusals_total',
      help: 'Requests of callers refused since a service below is short of slots, by service and class',
      labelNames: ['service', 'class'],
      registers,
    }),
    admissionShare: new Gauge({
      name: 'sillshore_admission_share',
      help: 'Share of the requests of a class that a service short of slots takes',
      labelNames: ['service', 'class'],
      registers,
      collect() {
        this.reset();
        for (const { service, shares } of sources.admissionShares()) {
          shares.forEach((share, rank) => {
            this.set({ service, class: CRITICALITIES[rank]! }, share);
          });
        }
      },
    }),
    slowdown: new Gauge({
      name: 'sillshore_target_slowdown',
      help: "How long work takes on the own target's machine, as it states; 1 is as usual, -1 not stated",
      registers,
      collect() {
        this.set(sources.slowdown() ?? NO_SLOWDOWN);
      },
    }),
    rulesVersion: new Gauge({
      name: 'sillshore_rules_version',
      help: 'Version of the rules in force',
      registers,
      collect() {
        this.set(sources.rulesVersion());
      },
    }),
    rulesUnconfirmed: new Gauge({
      name: 'sillshore_rules_unconfirmed_seconds',
      help: 'Time since the rules in force were last confirmed to be the newest; -1: never',
      registers,
      collect() {
        const milliseconds = sources.rulesUnconfirmedMs();
        this.set(Number.isFinite(milliseconds) ? milliseconds / MS_PER_SECOND : NEVER_CONFIRMED);
      },
    }),
    storeUnanswered: new Counter({
      name: 'sillshore_store_unanswered_calls_total',
      help: 'Calls to the store that got no answer, by whether their connection was new',
      labelNames: ['connection'],
      registers,
    }),
    links: new Gauge({
      name: 'sillshore_peer_links',
      help: 'Links to other nodes that this node uses, by whether the other node responds',
      labelNames: ['state'],
      registers,
      collect() {
        const { reachable, unreachable } = sources.linkCounts();
        this.set({ state: 'reachable' }, reachable);
        this.set({ state: 'unreachable' }, unreachable);
      },
    }),
    suspects: new Gauge({
      name: 'sillshore_suspect_requests',
      help: 'Requests under which a target ended, and that none has answered since',
      registers,
      collect() {
        this.set(sources.suspects());
      },
    }),
    quarantined: new Gauge({
      name: 'sillshore_quarantined_requests',
      help: 'Requests that are kept from targets',
      registers,
      collect() {
        this.set(sources.quarantined());
      },
    }),
    eventLoopDelay: new Gauge({
      name: 'sillshore_event_loop_delay_seconds',
      help: 'Longest delay of the event loop in the last one to two seconds',
      registers,
      collect() {
        this.set(sources.eventLoopDelayMs() / MS_PER_SECOND);
      },
    }),
    takenPorts: new Gauge({
      name: 'sillshore_taken_port_attempts',
      help: 'Attempts to bind a port at the start that failed, by port',
      labelNames: ['port'],
      registers,
      collect() {
        for (const [port, attempts] of sources.takenPorts()) this.set({ port }, attempts);
      },
    }),
    logLinesLeftOut: new Gauge({
      name: 'sillshore_log_lines_left_out',
      help: 'Log lines since the start that nobody read or that the output refused',
      labelNames: ['reason'],
      registers,
      collect() {
        const { notRead, refused } = sources.logLinesLeftOut() ?? NOTHING_LEFT_OUT;
        this.set({ reason: 'not-read' }, notRead);
        this.set({ reason: 'refused' }, refused);
      },
    }),
  };
}

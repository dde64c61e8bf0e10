/** Options of the back-end stand-in; all of them can be given as flags. */

/** Requests that a rule applies to; absent members match everything. */
export interface RequestMatch {
  readonly method?: string | undefined;
  readonly pathPrefix?: string | undefined;
}

/** Service time of some of the requests. */
export interface WorkRule {
  readonly on: RequestMatch;
  /** Mean in milliseconds, without the calls below. */
  readonly serviceMs: number;
  /** Standard deviation of the logarithm; 0 makes it constant. */
  readonly sigma: number;
}

/** One call that the back end makes while it serves a request: the next hop of a chain. */
export interface DownstreamCall {
  /** Requests that cause the call. */
  readonly on: RequestMatch;
  /** Service called, for the journal. */
  readonly service: string;
  /** Host field under which the nodes know the service. */
  readonly host: string;
  /** Base URLs of nodes; the first is used while it answers. */
  readonly nodes: readonly string[];
  readonly method: string;
  readonly path: string;
}

/** Options of one back end. */
export interface BackendOptions {
  /** `host:port`; port 0 takes a free one. */
  readonly listen: string;
  readonly service: string;
  readonly target: string;
  /** Requests served at once; more wait in order of arrival. */
  readonly slots: number;
  /** Requests that may wait; a further one is shed. */
  readonly maxQueue: number;
  /** Mean service time in milliseconds, without the calls below. */
  readonly serviceMs: number;
  /** Standard deviation of the logarithm of the service time; 0 makes it constant. */
  readonly sigma: number;
  /** Service times that differ from `serviceMs`; the first match counts. */
  readonly work: readonly WorkRule[];
  /** Connections accepted at once; a further one is closed. */
  readonly connections: number;
  /** Milliseconds that the first request of a connection waits. */
  readonly connectionCostMs: number;
  /** Milliseconds after the start in which requests take `coldFactor` times as long. */
  readonly coldMs: number;
  readonly coldFactor: number;
  /** Bytes of filler in an answer. */
  readonly answerBytes: number;
  readonly calls: readonly DownstreamCall[];
  readonly seed: number;
}

/** Defaults of everything that has a sensible one. */
export const BACKEND_DEFAULTS = {
  maxQueue: 1_000,
  sigma: 0.3,
  connections: 110,
  connectionCostMs: 1,
  coldMs: 0,
  coldFactor: 4,
  answerBytes: 256,
  work: [],
  calls: [],
  seed: 1,
} as const satisfies Partial<BackendOptions>;

/** Whether a rule applies to a request. */
export function matchesRequest(on: RequestMatch, method: string, path: string): boolean {
  if (on.method !== undefined && on.method !== method) return false;
  return path.startsWith(on.pathPrefix ?? '/');
}

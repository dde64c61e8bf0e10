/** Options of the back-end stand-in. */

/** Matches requests; an absent member matches everything. */
export interface RequestMatch {
  readonly method?: string | undefined;
  readonly pathPrefix?: string | undefined;
}

/** Service time of the requests that match. */
export interface WorkRule {
  readonly on: RequestMatch;
  /** Mean in milliseconds, without the downstream calls. */
  readonly serviceMs: number;
  /** Standard deviation of the logarithm; 0 gives a constant time. */
  readonly sigma: number;
}

/** A call that the back end makes while it serves a request: the next hop of a chain. */
export interface DownstreamCall {
  /** Requests that cause the call. */
  readonly on: RequestMatch;
  /** Service called, named in failures and in derived idempotency keys. */
  readonly service: string;
  /** Host field by which the nodes identify the service. */
  readonly host: string;
  /** Base URLs of nodes; the first is used unless it is stopping. */
  readonly nodes: readonly string[];
  readonly method: string;
  readonly path: string;
}

/** Options of one back end. */
export interface BackendOptions {
  /** `host:port`; port 0 chooses a free one. */
  readonly listen: string;
  readonly service: string;
  readonly target: string;
  /** Requests served at once; further ones wait in order of arrival. */
  readonly slots: number;
  /** Requests that may wait; further ones are refused. */
  readonly maxQueue: number;
  /** Mean service time in milliseconds, without the downstream calls. */
  readonly serviceMs: number;
  /** Standard deviation of the logarithm of the service time; 0 gives a constant time. */
  readonly sigma: number;
  /** Service times that differ from `serviceMs`; the first match applies. */
  readonly work: readonly WorkRule[];
  /** Connections accepted at once; further ones are closed. */
  readonly connections: number;
  /** Delay of the first request of each connection, in milliseconds. */
  readonly connectionCostMs: number;
  /** Milliseconds after the start during which requests take `coldFactor` times as long. */
  readonly coldMs: number;
  readonly coldFactor: number;
  /** Bytes of filler in an answer. */
  readonly answerBytes: number;
  readonly calls: readonly DownstreamCall[];
  readonly seed: number;
}

/** Defaults of the options that are not required. */
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

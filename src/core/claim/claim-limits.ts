/** Limits and durations of the claim protocol. See docs/design/claims.md. */

/** Age, by its own time stamp, above which a key is refused, in milliseconds. */
export const KEY_HORIZON_MS = 300_000;

/**
 * Largest difference between any two wall clocks of callers and nodes, in milliseconds.
 * Only the expiry of keys depends on it.
 */
export const MAX_CLOCK_SKEW_MS = 30_000;

/** Time an entry outlives the horizon, so that no replica accepts a key that another evicted. */
export const RETENTION_MARGIN_MS = 2 * MAX_CLOCK_SKEW_MS;

/** Time within which a granted attempt may be dispatched, in ms; far below the horizon. */
export const DISPATCH_WINDOW_MS = 30_000;

/** Time for which the attempt budget of a request id is kept, in milliseconds. */
export const BUDGET_RETENTION_MS = 120_000;

/** Maximum number of claims at one replica; more are refused. */
export const MAX_CLAIMS = 30_000;

/** Maximum number of attempt budgets at one replica; more are refused. */
export const MAX_BUDGETS = 20_000;

/** Largest answer kept for retries, in bytes of body and header fields. */
export const MAX_KEPT_ANSWER_BYTES = 65_536;

/** Bytes of answers that one replica keeps; the oldest are evicted first. */
export const MAX_KEPT_ANSWERS_BYTES = 4_194_304;

/** Replicas of a group when enough zones have a live node. */
export const GROUP_SIZE = 3;

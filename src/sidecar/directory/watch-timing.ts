/**
 * Limits how often a node calls the store, by the number of nodes: a call that all nodes make reaches the store
 * once for each node, and each change of a record ends the waits of all nodes.
 */

/** Calls per second that all nodes of a fleet together make for one prefix while nothing changes. */
const FLEET_CALLS_PER_SECOND = 8;
/** The store waits at most 30 s for changes, and a wait differs from its mean by up to a quarter. */
const MAX_WAIT_MS = 23_000;
/** Pause in which changes of records are batched, for each node of the fleet, in milliseconds. */
const BATCH_PAUSE_MS_PER_NODE = 15;
const MIN_BATCH_PAUSE_MS = 1_000;
/**
 * Other nodes learn of a joining target at most this late. Urgent changes (a target that leaves or is lost)
 * are reported over links.
 */
const MAX_BATCH_PAUSE_MS = 3_000;
const MS_PER_SECOND = 1_000;

/**
 * Wait of one call for changes, in milliseconds. Its connection may go silent unnoticed, so that a wait alone
 * does not bound the delay of a change.
 *
 * @param minMs wait in a small fleet
 */
export function waitForChangesMs(nodes: number, minMs: number): number {
  const shared = (nodes * MS_PER_SECOND) / FLEET_CALLS_PER_SECOND;
  return Math.min(MAX_WAIT_MS, Math.max(minMs, shared));
}

/**
 * Pause after changes of records, in milliseconds, so that one call returns all changes that follow. While a
 * fleet starts, a node makes one call for each pause.
 */
export function recordBatchPauseMs(nodes: number): number {
  return Math.min(
    MAX_BATCH_PAUSE_MS,
    Math.max(MIN_BATCH_PAUSE_MS, nodes * BATCH_PAUSE_MS_PER_NODE),
  );
}

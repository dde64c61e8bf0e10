/**
 * Nodes that confirm the rules for all others of their region, so that one call to the store serves them all. With random
 * peers the confirmations of a fleet spread slowly, and a node without traffic has no peer to ask, so that
 * each node asked the store.
 */
import { isLargeFleet } from '../../core/fleet-size.js';
import { rankNodes } from '../../core/rendezvous.js';

/** More than one, since a source may be cut off from the store or may have failed. */
const SOURCE_COUNT = 3;
const RENDEZVOUS_KEY = 'rules confirmation';
/** Distance between the positions of two sources: the next one refreshes only when the one before has not. */
const SOURCE_POSITION_STEP = 0.2;
/** First position of the other nodes; the sources have new confirmations by then. */
const FIRST_OTHER_POSITION = 0.6;

/** How one node takes part. */
export interface ConfirmationRole {
  /** Nodes to ask, first the one that refreshes first; this node is not among them. */
  readonly sources: readonly string[];
  readonly isSource: boolean;
  /** Whether the sources report new rules to this node, so that it need not wait for them at the store. */
  readonly reliesOnSources: boolean;
  /** Position of this node in the order in which nodes refresh, from 0 (first) to 1 (last). */
  readonly position: number;
}

/**
 * Role of a node.
 *
 * @param nodes nodes of the region that are not known to be unreachable, this one included
 * @param spread random number of this node that spreads the refreshes of the other nodes, from 0 to 1
 */
export function confirmationRole(
  node: string,
  nodes: readonly string[],
  spread: number,
): ConfirmationRole {
  const chosen = rankNodes(RENDEZVOUS_KEY, nodes).slice(0, SOURCE_COUNT);
  const rank = chosen.indexOf(node);
  const isSource = rank >= 0;
  return {
    sources: chosen.filter((source) => source !== node),
    isSource,
    reliesOnSources: !isSource && isLargeFleet(nodes.length),
    position: isSource
      ? rank * SOURCE_POSITION_STEP
      : FIRST_OTHER_POSITION + (1 - FIRST_OTHER_POSITION) * spread,
  };
}

/**
 * Longest age of a confirmation for which a node relies on the sources for new rules, in milliseconds. It is
 * above the ages at which the nodes refresh, and leaves 500 ms of the 2,500 ms in which rules must be in force.
 */
const MAX_RELIED_AGE_MS = 2_000;
/** A node checks at least this often whether it still relies on the sources, in milliseconds. */
const MAX_REST_MS = 1_000;

/**
 * Time for which a node needs no own wait for new rules, in milliseconds; 0: it has to wait for them. A source
 * announces new rules over its links at once. If that is lost, its next confirmation names a version that the
 * node lacks, so that the node's confirmation is not renewed and it asks the store.
 *
 * @param ageMs age of the node's confirmation
 */
export function restFromWatchMs(role: ConfirmationRole, ageMs: number): number {
  if (!role.reliesOnSources) return 0;
  return Math.min(MAX_REST_MS, Math.max(0, MAX_RELIED_AGE_MS - ageMs));
}

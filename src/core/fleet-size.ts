/** Fleets in which a node sees only a small part of the requests of a service. */

/** Above this size a node uses a subset of targets and sees too few requests of a service to learn alone. */
const LARGEST_SMALL_FLEET = 24;

/**
 * Whether the load control over all nodes is worth its messages.
 *
 * @param nodes number of known nodes, this one included
 */
export function isLargeFleet(nodes: number): boolean {
  return nodes > LARGEST_SMALL_FLEET;
}

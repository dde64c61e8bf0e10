/**
 * Request limits that targets stated in answers which this node has relayed. The node beside a target keeps
 * its limit, and forgets it when it restarts; it learns the limit again from the nodes that relayed it.
 */
import type { RelayedLimit } from '../link/link-messages.js';

/** The last stated limit of each node's target. */
export class RelayedLimits {
  private readonly byNode = new Map<string, RelayedLimit>();

  /** Returns the limit of a node's target; undefined when it states none. */
  of(node: string): RelayedLimit | undefined {
    return this.byNode.get(node);
  }

  /** Records what the last answer of a node's target states; undefined: no limit. */
  note(node: string, incarnation: string, requestsPerSecond: number | undefined): void {
    if (requestsPerSecond === undefined) this.byNode.delete(node);
    else this.byNode.set(node, { incarnation, requestsPerSecond });
  }

  /** Discards the limit of an earlier incarnation. */
  onIncarnation(node: string, incarnation: string): void {
    if (this.byNode.get(node)?.incarnation !== incarnation) this.byNode.delete(node);
  }
}

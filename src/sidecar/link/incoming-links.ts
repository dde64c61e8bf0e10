/** The open connections of other nodes, and bounds on what they hold together. */
import { chooseIdleConnection, chooseLargest } from '../../core/holding/connection-choice.js';
import type { LimitReporter } from '../../http/connection-guard.js';

/** Bounds on the connections of other nodes. */
export interface LinkLimits {
  readonly connections: number;
  /** Bytes of unfinished frames and of messages that the other ends have not read. */
  readonly heldBytes: number;
}

/** Name of a bound that was reached. */
export type LinkLimit = 'connections' | 'link-bytes' | 'replies' | 'call-bytes';

/** One connection of another node. */
export interface BoundedLink {
  /** Whether a message was ever received on it. */
  readonly hasServed: boolean;
  /** Calls in progress. */
  readonly unfinishedCount: number;
  /** Memory that it takes for unfinished frames and unread messages, in bytes. */
  readonly heldBytes: number;
  /** Closes the connection at once. */
  destroy(detail: string): void;
}

/** Connections in the order in which they were opened. */
export class IncomingLinks<T extends BoundedLink> implements Iterable<T> {
  private readonly links = new Set<T>();

  constructor(
    private readonly limits: LinkLimits,
    private readonly reports: LimitReporter<LinkLimit>,
  ) {}

  [Symbol.iterator](): Iterator<T> {
    return this.links[Symbol.iterator]();
  }

  /**
   * Makes room for one more connection.
   *
   * @returns whether there is room; if not, all connections are in use
   */
  makeRoom(): boolean {
    if (this.links.size < this.limits.connections) return true;
    this.reports.note('connections');
    const silent = chooseIdleConnection(this.listSilent());
    if (silent === undefined) return false;
    silent.destroy('replaced by a new connection');
    this.links.delete(silent);
    return true;
  }

  add(link: T): void {
    this.links.add(link);
  }

  delete(link: T): void {
    this.links.delete(link);
  }

  /** Closes connections that hold most until the bound is kept; one connection may exceed it alone. */
  limitHeldBytes(): void {
    for (;;) {
      const holders = [...this.links].filter(({ heldBytes }) => heldBytes > 0);
      const total = holders.reduce((sum, { heldBytes }) => sum + heldBytes, 0);
      if (holders.length < 2 || total <= this.limits.heldBytes) return;
      const largest = chooseLargest(holders, ({ heldBytes }) => heldBytes)!;
      this.reports.note('link-bytes');
      largest.destroy('too much is held for all links');
      this.links.delete(largest);
    }
  }

  /** A connection on which a node has introduced itself is not replaced: the node uses it. */
  private *listSilent(): Iterable<T> {
    for (const link of this.links) if (!link.hasServed) yield link;
  }
}

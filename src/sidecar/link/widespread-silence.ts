/**
 * Recognizes that connections to several nodes have gone silent at about the same time. The cause is then
 * more likely on this node's side of the network than at each of them, and other open connections may be
 * silent too, those on which no answer is pending included.
 */
import type { Clock } from '../../kernel/clock.js';

/** Nodes that become unresponsive within the window when the silence counts as widespread. */
const MIN_SILENT_NODES = 2;
/** Window in which they are counted, and shortest time between two reports, in milliseconds. */
const WINDOW_MS = 1_000;

/** Counts the nodes that have become unresponsive within a window. */
export class WidespreadSilence {
  /** Times at which nodes became unresponsive. */
  private readonly silentAt = new Map<string, number>();
  private reportedAt = -Infinity;

  /** @param onDetected called with the number of silent nodes */
  constructor(
    private readonly clock: Clock,
    private readonly onDetected: (silentNodes: number) => void,
  ) {}

  /** Called when a node has become unresponsive. */
  noteUnresponsive(node: string): void {
    const now = this.clock.now();
    this.silentAt.set(node, now);
    for (const [other, at] of this.silentAt) if (now - at > WINDOW_MS) this.silentAt.delete(other);
    if (this.silentAt.size < MIN_SILENT_NODES || now - this.reportedAt < WINDOW_MS) return;
    this.reportedAt = now;
    this.onDetected(this.silentAt.size);
  }
}

/** Logs invalid members in messages of other nodes, at a bounded rate: every message may hold some. */
import type { Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';

/** Shortest time between two lines, in milliseconds. */
const MIN_INTERVAL_MS = 1_000;

export class RejectedMembersLog {
  private nextAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Logs the names of members that were ignored, unless a line was written recently. */
  onRejected(peer: string, members: readonly string[]): void {
    const now = this.clock.now();
    if (now < this.nextAt) return;
    this.nextAt = now + MIN_INTERVAL_MS;
    this.log.emit(Event.PeerFiguresRejected, { peer, members: members.join(' ') });
  }
}

/** Logs figures in messages about admission that cannot be true and were ignored. */
import type { Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';

/** Shortest time between two lines, in milliseconds: a faulty node sends several messages a second. */
const LOG_INTERVAL_MS = 10_000;

export class InvalidFiguresLog {
  private loggedAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Notes that figures of a node were ignored. */
  note(peer: string, service: string): void {
    const now = this.clock.now();
    if (now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    const detail = 'figures about admission that cannot be true were ignored';
    this.log.emit(Event.FrameRejected, { peer, service, detail });
  }
}

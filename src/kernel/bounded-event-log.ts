import type { Clock } from './clock.js';
import { Event, EVENTS, type EventFields, type EventLog } from './event.js';
import type { LeftOutLines } from './line-output.js';

const PERIOD_MS = 1_000;

/**
 * An event log that writes a bounded number of lines a second. Lines over the bound are counted by
 * event, and the counts are written as one line with the first line of a later second. Errors are
 * always written; lines of level debug are neither bounded nor counted.
 */
export class BoundedEventLog implements EventLog {
  private written = 0;
  private leftOut = new Map<Event, number>();
  private periodEndsAt = -Infinity;

  /** @param maxLines lines a second */
  constructor(
    private readonly log: EventLog,
    private readonly clock: Clock,
    private readonly maxLines: number,
  ) {}

  writes(event: Event): boolean {
    return this.log.writes?.(event) ?? true;
  }

  linesLeftOut(): LeftOutLines {
    return this.log.linesLeftOut?.() ?? { notRead: 0, refused: 0 };
  }

  emit(event: Event, fields?: EventFields): void {
    const [level] = EVENTS[event];
    if (level === 'debug') {
      this.log.emit(event, fields);
      return;
    }
    this.startPeriod();
    if (level !== 'error' && this.written >= this.maxLines) {
      this.leftOut.set(event, (this.leftOut.get(event) ?? 0) + 1);
      return;
    }
    this.written += 1;
    this.log.emit(event, fields);
  }

  /** When the last period is over, starts a new one and writes the counts of the last. */
  private startPeriod(): void {
    const now = this.clock.now();
    if (now < this.periodEndsAt) return;
    this.periodEndsAt = now + PERIOD_MS;
    this.written = 0;
    if (this.leftOut.size === 0) return;
    const counts = [...this.leftOut].map(([event, count]) => [Event[event], count] as const);
    this.leftOut = new Map();
    this.log.emit(Event.LinesLeftOut, Object.fromEntries(counts));
  }
}

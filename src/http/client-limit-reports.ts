/** Counts the limits that clients of a port reach, and logs them together at most once a second. */
import type { Counter } from 'prom-client';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';

/** Interval between two log lines, in milliseconds. */
const INTERVAL_MS = 1_000;

export interface ClientLimitReportsOptions {
  /** Name of the port in the metric and the log. */
  readonly port: string;
  readonly hits: Counter<'port' | 'limit'>;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Reports of one port. */
export class ClientLimitReports {
  private readonly counts = new Map<string, number>();
  private cancelReport: CancelTimer | undefined;

  constructor(private readonly options: ClientLimitReportsOptions) {}

  /** A client has reached a limit. */
  note(limit: string): void {
    const { port, hits, clock } = this.options;
    hits.inc({ port, limit });
    this.counts.set(limit, (this.counts.get(limit) ?? 0) + 1);
    this.cancelReport ??= clock.schedule(INTERVAL_MS, () => {
      this.report();
    });
  }

  /** Logs what was not logged yet. */
  close(): void {
    if (this.cancelReport === undefined) return;
    this.cancelReport();
    this.report();
  }

  private report(): void {
    const { port, log } = this.options;
    this.cancelReport = undefined;
    for (const [limit, count] of this.counts) {
      log.emit(Event.ClientLimitReached, { port, limit, count });
    }
    this.counts.clear();
  }
}

/** Gauges of one target, and the event logged when its limit changes. */
import type { LoadReport } from '../core/request.js';
import { Event, type EventLog } from '../kernel/event.js';
import type { Metrics } from '../kernel/metrics.js';

interface GaugeValue {
  set(value: number): void;
}

/** Looks up its gauges once. */
export class LoadGauges {
  private readonly inFlight: GaugeValue;
  private readonly queued: GaugeValue;
  private readonly limit: GaugeValue;
  private loggedLimit: number | undefined;

  constructor(
    private readonly target: string,
    metrics: Metrics,
    private readonly log: EventLog,
  ) {
    this.inFlight = metrics.inFlight.labels({ target });
    this.queued = metrics.queued.labels({ target });
    this.limit = metrics.limit.labels({ target });
  }

  /** Sets the gauges to a load. */
  set(load: LoadReport): void {
    this.inFlight.set(load.inFlight);
    this.queued.set(load.queued);
    this.limit.set(load.limit);
    const limit = Math.round(load.limit);
    if (limit === this.loggedLimit) return;
    this.loggedLimit = limit;
    this.log.emit(Event.LimitChanged, { target: this.target, limit });
  }
}

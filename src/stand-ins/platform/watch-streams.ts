/** Watch streams of the gateway: one JSON result per line, until a client or a fault ends them. */
import type { Response } from 'express';
import type { FaultInjector } from './faults.js';
import { toHeader, toWireEvent } from './gateway-messages.js';
import {
  isInRange,
  type KeyRange,
  type KeyValueStore,
  type StoreEvent,
} from './key-value-store.js';

/** The open watch streams. */
export class WatchStreams {
  private readonly open = new Set<Response>();

  constructor(
    private readonly store: KeyValueStore,
    private readonly injector: FaultInjector,
  ) {}

  /** Number of open streams. */
  get count(): number {
    return this.open.size;
  }

  /** Starts a stream; `fromRevision` 0 starts after the current revision. */
  start(response: Response, range: KeyRange, fromRevision: number): void {
    const start = fromRevision === 0 ? this.store.revision + 1 : fromRevision;
    response.status(200).type('application/json');
    this.write(response, { created: true });
    if (start <= this.store.compactedRevision) {
      const compact_revision = String(this.store.compactedRevision);
      this.write(response, { canceled: true, compact_revision });
      response.end();
      return;
    }
    this.open.add(response);
    const deliver = (events: readonly StoreEvent[]) => {
      this.deliver(response, range, start, events);
    };
    const unsubscribe = this.store.subscribe(deliver);
    response.on('close', () => {
      unsubscribe();
      this.open.delete(response);
    });
    deliver(this.store.eventsSince(start));
  }

  /** Ends all streams abruptly. */
  cut(): void {
    for (const response of this.open) response.destroy();
  }

  private deliver(
    response: Response,
    range: KeyRange,
    start: number,
    events: readonly StoreEvent[],
  ): void {
    const matching = events.filter(
      ({ keyValue }) => keyValue.modRevision >= start && isInRange(keyValue.key, range),
    );
    if (matching.length === 0 || response.destroyed) return;
    const body = { events: matching.map(toWireEvent) };
    if (this.injector.takeTruncation()) {
      const line = this.toLine(body);
      response.write(line.slice(0, line.length / 2), () => response.destroy());
      return;
    }
    this.write(response, body);
  }

  private write(response: Response, result: object): void {
    response.write(this.toLine(result));
  }

  private toLine(result: object): string {
    return `${JSON.stringify({ result: { header: toHeader(this.store.revision), ...result } })}\n`;
  }
}

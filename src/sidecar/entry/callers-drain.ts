/**
 * Drains the callers' interface at a planned stop. Afterwards no connection or request is accepted,
 * and all accepted requests are answered.
 */
import type { Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { EntryListener } from './entry-listener.js';
import type { PlannedStop } from './planned-stop.js';

const CHECK_INTERVAL_MS = 50;
/** Time to write the answers to abandoned requests, in milliseconds. */
const FINAL_ANSWERS_TIMEOUT_MS = 250;

export interface CallersDrainOptions {
  readonly listener: EntryListener;
  readonly plannedStop: PlannedStop;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Requests that run at the local target. The calls that they make come over the callers' interface. */
  runningAtTarget(): number;
}

/** One planned stop of the callers' interface. */
export class CallersDrain {
  private readonly startedAt: number;

  constructor(private readonly options: CallersDrainOptions) {
    this.startedAt = options.clock.now();
  }

  /** @param endAt monotonic time at which requests in progress are abandoned, in milliseconds */
  async run(endAt: number): Promise<void> {
    const { listener, plannedStop, clock } = this.options;
    plannedStop.begin(this.startedAt, endAt);
    listener.closeAfterAnswers();
    await this.waitUntil(() => plannedStop.isRefusing(clock.now()) && this.isIdle());
    // Nothing is accepted from here on, so that no request can begin between the check above and the end.
    listener.finish();
    await this.waitUntil(() => listener.connectionCount === 0);
    if (plannedStop.isOver(clock.now())) await this.giveUp();
    else this.logEnd('idle');
  }

  private async giveUp(): Promise<void> {
    const { listener, clock } = this.options;
    this.logEnd('time-limit');
    listener.giveUp();
    const end = clock.now() + FINAL_ANSWERS_TIMEOUT_MS;
    while (listener.requestCount > 0 && clock.now() < end) await this.pause();
  }

  private isIdle(): boolean {
    const { listener, runningAtTarget } = this.options;
    return listener.requestCount === 0 && runningAtTarget() === 0;
  }

  private async waitUntil(condition: () => boolean): Promise<void> {
    const { plannedStop, clock } = this.options;
    while (!condition() && !plannedStop.isOver(clock.now())) await this.pause();
  }

  private pause(): Promise<void> {
    return new Promise((resolve) => {
      this.options.clock.schedule(CHECK_INTERVAL_MS, resolve);
    });
  }

  private logEnd(reason: 'idle' | 'time-limit'): void {
    const { listener, clock, log, runningAtTarget } = this.options;
    log.emit(Event.CallersDrained, {
      reason,
      ms: Math.round(clock.now() - this.startedAt),
      requests: listener.requestCount,
      connections: listener.connectionCount,
      atTarget: runningAtTarget(),
    });
  }
}

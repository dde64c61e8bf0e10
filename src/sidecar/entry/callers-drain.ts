/**
 * The planned stop of the callers' interface. It ends in a state in which nothing is under way and
 * nothing can begin: no connection or request is taken any more, all that was taken is answered.
 */
import type { Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { EntryListener } from './entry-listener.js';
import type { PlannedStop } from './planned-stop.js';

const CHECK_INTERVAL_MS = 50;
/** Time to write the answers of requests that are given up, in milliseconds. */
const LAST_ANSWERS_MS = 250;

/** What a drain works with. */
export interface CallersDrainOptions {
  readonly listener: EntryListener;
  readonly plannedStop: PlannedStop;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Requests that run at the own target, whose calls come over the callers' interface. */
  runningAtTarget(): number;
}

/** See the module comment. */
export class CallersDrain {
  private readonly startedAt: number;

  constructor(private readonly options: CallersDrainOptions) {
    this.startedAt = options.clock.now();
  }

  /** @param endAt time of the monotonic clock at which what is under way is given up, in ms */
  async run(endAt: number): Promise<void> {
    const { listener, plannedStop, clock } = this.options;
    plannedStop.begin(this.startedAt, endAt);
    listener.closeAfterAnswers();
    await this.waitUntil(() => plannedStop.isRefusing(clock.now()) && this.isIdle());
    // From here on nothing can begin, so that nothing comes between this look and the end.
    listener.finish();
    await this.waitUntil(() => listener.connectionCount === 0);
    if (plannedStop.isOver(clock.now())) await this.giveUp();
    else this.logEnd('idle');
  }

  private async giveUp(): Promise<void> {
    const { listener, clock } = this.options;
    this.logEnd('time-limit');
    listener.giveUp();
    const end = clock.now() + LAST_ANSWERS_MS;
    while (listener.requestCount > 0 && clock.now() < end) await this.pause();
  }

  private isIdle(): boolean {
    const { listener, runningAtTarget } = this.options;
    return listener.requestCount === 0 && runningAtTarget() === 0;
  }

  private async waitUntil(holds: () => boolean): Promise<void> {
    const { plannedStop, clock } = this.options;
    while (!holds() && !plannedStop.isOver(clock.now())) await this.pause();
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

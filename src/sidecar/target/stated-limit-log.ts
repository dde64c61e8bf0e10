/** Logs what a target states, at a bounded rate: a target may state something else in each answer. */
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { InvalidStatement } from '../platform-adapter.js';

/** Shortest time between two lines about the request limit, and between two about invalid statements. */
const MIN_INTERVAL_MS = 1_000;
const DECIMALS = 3;

/** Value of a line when the target states no limit. */
const NO_LIMIT = 'none';

export class StatedLimitLog {
  private target = '';
  private current: number | undefined;
  private logged: number | undefined;
  private nextLimitAt = -Infinity;
  private nextInvalidAt = -Infinity;
  private cancelTimer: CancelTimer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Logs a changed limit, at once or, soon after another line, later. */
  onLimit(target: string, requestsPerSecond: number | undefined): void {
    this.target = target;
    this.current = requestsPerSecond;
    if (requestsPerSecond === this.logged || this.cancelTimer !== undefined) return;
    const waitMs = this.nextLimitAt - this.clock.now();
    if (waitMs <= 0) {
      this.writeLimit();
      return;
    }
    this.cancelTimer = this.clock.schedule(waitMs, () => {
      this.cancelTimer = undefined;
      if (this.current !== this.logged) this.writeLimit();
    });
  }

  /** Logs a statement that cannot be parsed, unless one was logged recently. */
  onInvalid(target: string, { statement, value }: InvalidStatement): void {
    const now = this.clock.now();
    if (now < this.nextInvalidAt) return;
    this.nextInvalidAt = now + MIN_INTERVAL_MS;
    this.log.emit(Event.TargetStatementRejected, { target, statement, value });
  }

  private writeLimit(): void {
    const { target, current, clock, log } = this;
    this.nextLimitAt = clock.now() + MIN_INTERVAL_MS;
    this.logged = current;
    const perSecond = current === undefined ? NO_LIMIT : Number(current.toFixed(DECIMALS));
    log.emit(Event.TargetLimitChanged, { target, perSecond });
  }
}

/**
 * Tells the end of a target from all else that cuts requests off. One cut connection says little:
 * targets reset some, and close idle ones. A target has ended when every request that ran there was
 * cut off and new connections are refused, or when another life of it is known soon after.
 */
import type { RequestKey } from '../../core/quarantine/suspect-table.js';
import type { Clock } from '../../kernel/clock.js';
import { pause } from '../../kernel/pause.js';

/** Time in which a new life explains requests that were cut off, in milliseconds. */
const EXPLAINED_WITHIN_MS = 10_000;
/**
 * A run whose caller left this long before the end may still have been at work, in milliseconds: not
 * every target stops when its connection closes.
 */
const ABANDONED_LIFE_MS = 1_000;

/** Checks, and the pause between them in milliseconds, while connections are refused and requests still run. */
const MAX_CHECKS = 5;
const CHECK_PAUSE_MS = 20;

/** A request that was cut off, or that nobody waits for any more. */
interface CutRequest {
  readonly request: RequestKey;
  /** Local monotonic time. */
  readonly at: number;
}

/** What the watch works with. */
export interface TargetEndWatchOptions {
  readonly clock: Clock;
  /** Tries a new connection to the target; never rejects. */
  isRefusing(): Promise<boolean>;
  /** Whether a request that was sent before a local monotonic time still runs. */
  isRunningSince(time: number): boolean;
  /** The target has ended; these requests ran there. */
  onEnd(requests: readonly RequestKey[]): void;
}

/** Watches one life of a target. */
export class TargetEndWatch {
  private cut: CutRequest[] = [];
  private abandoned: CutRequest[] = [];
  private released: (() => void)[] = [];
  private checking = false;
  private ended = false;

  constructor(private readonly options: TargetEndWatchOptions) {}

  /**
   * A request was cut off.
   *
   * @param release called when it is known whether the target has ended
   */
  onCut(request: RequestKey, release: () => void): void {
    this.cut.push({ request, at: this.options.clock.now() });
    this.released.push(release);
    if (!this.checking) void this.check();
  }

  /** A request is broken off that the target may go on with. */
  onAbandoned(request: RequestKey): void {
    const now = this.options.clock.now();
    this.abandoned = this.abandoned.filter(({ at }) => now - at <= ABANDONED_LIFE_MS);
    this.abandoned.push({ request, at: now });
  }

  /** The target gave a whole answer: what was cut off before was no end. */
  onAnswer(): void {
    this.ended = false;
    if (!this.checking) this.cut = [];
  }

  /** Another life of the target is known, so that this one has ended. */
  onNewLife(): void {
    const oldest = this.options.clock.now() - EXPLAINED_WITHIN_MS;
    this.cut = this.cut.filter(({ at }) => at >= oldest);
    if (this.cut.length > 0) this.end();
  }

  private async check(): Promise<void> {
    this.checking = true;
    const startedAt = this.cut.at(-1)!.at;
    const ended = await this.hasEnded(startedAt);
    this.checking = false;
    if (ended) this.end();
    const { released } = this;
    this.released = [];
    for (const release of released) release();
  }

  /** The last connections may be found cut after the refusal. */
  private async hasEnded(since: number): Promise<boolean> {
    const { clock, isRefusing, isRunningSince } = this.options;
    for (let check = 0; check < MAX_CHECKS; check += 1) {
      if (!(await isRefusing())) return false;
      if (!isRunningSince(since)) return true;
      await pause(clock, CHECK_PAUSE_MS);
    }
    return false;
  }

  private end(): void {
    const suspects = [...this.cut, ...this.recentlyAbandoned()];
    this.cut = [];
    this.abandoned = [];
    if (this.ended) return;
    this.ended = true;
    this.options.onEnd(suspects.map(({ request }) => request));
  }

  private recentlyAbandoned(): readonly CutRequest[] {
    const end = this.cut[0]?.at ?? this.options.clock.now();
    return this.abandoned.filter(({ at }) => end - at <= ABANDONED_LIFE_MS);
  }
}

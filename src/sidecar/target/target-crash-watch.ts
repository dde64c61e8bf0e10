/**
 * Distinguishes a crash of a target from other interruptions of requests. One broken connection shows
 * little: targets reset some, and close idle ones. A target has crashed when every request that ran there
 * was interrupted and new connections are refused, or when another incarnation is known soon after.
 */
import type { RequestKey } from '../../core/quarantine/suspect-table.js';
import type { Clock } from '../../kernel/clock.js';
import { pause } from '../../kernel/pause.js';

/** Time before a new incarnation within which interrupted requests are attributed to a crash. */
const CRASH_ATTRIBUTION_MS = 10_000;
/**
 * A request that was cancelled at most this long before the crash may still have been running: not
 * every target stops when the connection closes.
 */
const ABANDONED_RETENTION_MS = 1_000;

/** Number of checks, and the pause between them, while connections are refused and requests still run. */
const MAX_CHECKS = 5;
const CHECK_PAUSE_MS = 20;

/** A request that was interrupted or abandoned. */
interface InterruptedRequest {
  readonly request: RequestKey;
  /** Local monotonic time. */
  readonly at: number;
}

export interface TargetCrashWatchOptions {
  readonly clock: Clock;
  /** Attempts a new connection to the target and returns whether it is refused; never rejects. */
  refusesConnections(): Promise<boolean>;
  /** Whether a request that was sent before `time` (local monotonic) still runs. */
  isRunningSince(time: number): boolean;
  /** Called when the target has crashed, with the requests that ran there. */
  onCrash(requests: readonly RequestKey[]): void;
}

/** Watches one incarnation of a target. */
export class TargetCrashWatch {
  private interrupted: InterruptedRequest[] = [];
  private abandoned: InterruptedRequest[] = [];
  private releases: (() => void)[] = [];
  private checking = false;
  private crashed = false;

  constructor(private readonly options: TargetCrashWatchOptions) {}

  /**
   * Records a request that was interrupted.
   *
   * @param release called when it is known whether the target has crashed
   */
  onInterrupted(request: RequestKey, release: () => void): void {
    this.interrupted.push({ request, at: this.options.clock.now() });
    this.releases.push(release);
    if (!this.checking) void this.check();
  }

  /** Records a request that was aborted here and may still run at the target. */
  onAbandoned(request: RequestKey): void {
    const now = this.options.clock.now();
    this.abandoned = this.abandoned.filter(({ at }) => now - at <= ABANDONED_RETENTION_MS);
    this.abandoned.push({ request, at: now });
  }

  /** Records a complete answer of the target: requests that were interrupted before show no crash. */
  onAnswer(): void {
    this.crashed = false;
    if (!this.checking) this.interrupted = [];
  }

  /** Called when another incarnation of the target is known, so that this one has terminated. */
  onNewIncarnation(): void {
    const oldest = this.options.clock.now() - CRASH_ATTRIBUTION_MS;
    this.interrupted = this.interrupted.filter(({ at }) => at >= oldest);
    if (this.interrupted.length > 0) this.reportCrash();
  }

  private async check(): Promise<void> {
    this.checking = true;
    const startedAt = this.interrupted.at(-1)!.at;
    const crashed = await this.hasCrashed(startedAt);
    this.checking = false;
    if (crashed) this.reportCrash();
    const { releases } = this;
    this.releases = [];
    for (const release of releases) release();
  }

  /** Checks several times, since the last broken connections may be noticed only after the refusal. */
  private async hasCrashed(since: number): Promise<boolean> {
    const { clock, refusesConnections, isRunningSince } = this.options;
    for (let check = 0; check < MAX_CHECKS; check += 1) {
      if (!(await refusesConnections())) return false;
      if (!isRunningSince(since)) return true;
      await pause(clock, CHECK_PAUSE_MS);
    }
    return false;
  }

  private reportCrash(): void {
    const suspects = [...this.interrupted, ...this.recentlyAbandoned()];
    this.interrupted = [];
    this.abandoned = [];
    if (this.crashed) return;
    this.crashed = true;
    this.options.onCrash(suspects.map(({ request }) => request));
  }

  private recentlyAbandoned(): readonly InterruptedRequest[] {
    const crashedAt = this.interrupted[0]?.at ?? this.options.clock.now();
    return this.abandoned.filter(({ at }) => crashedAt - at <= ABANDONED_RETENTION_MS);
  }
}

/**
 * Back-off shared by all repeated calls of a node to the store. While calls fail, one caller at a time
 * calls the store and the others wait until it has answered. With a back-off for each caller, the calls
 * would add up, and refused calls cost the store as well.
 */
import type { Random } from '../core/random.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';

/** Pause after the first failure, in milliseconds. */
const FIRST_PAUSE_MS = 50;
/**
 * Longest pause before the store has answered for the first time, in milliseconds. Short, since nothing can
 * be served until then.
 */
const MAX_PAUSE_BEFORE_FIRST_ANSWER_MS = 500;
/**
 * Longest pause later, in milliseconds. A record that lapsed while the store was unavailable must be written
 * again within two seconds after the store is back: one second until the loss is noticed, the other for the
 * write and its retry.
 */
const MAX_PAUSE_MS = 1_000;
/** Each pause is shortened at random by up to this share, so that nodes that failed together spread out. */
const JITTER_SHARE = 0.25;

/** Back-off of one node, shared by all callers of the store. */
export class StoreBackoff {
  private pauseMs = FIRST_PAUSE_MS;
  private failing = false;
  private answeredBefore = false;
  /** Local monotonic time, in milliseconds. */
  private lastFailedAt = -Infinity;
  /** Callers that wait for their turn, in order. */
  private readonly waiting: (() => void)[] = [];
  private cancelTimer: CancelTimer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Resolves when the caller may call the store: at once while the store answers. */
  waitForTurn(): Promise<void> {
    if (!this.failing) return Promise.resolve();
    return new Promise((resolve) => {
      this.waiting.push(resolve);
      this.schedule();
    });
  }

  /**
   * Records that a call was answered: all waiting callers proceed now. The pause is reset only when the last
   * failure is more than {@link MAX_PAUSE_MS} ago, since a store may answer listings and refuse the watches
   * that follow them.
   */
  noteAnswered(): void {
    this.failing = false;
    this.answeredBefore = true;
    if (this.clock.now() - this.lastFailedAt > MAX_PAUSE_MS) this.pauseMs = FIRST_PAUSE_MS;
    this.cancelTimer?.();
    this.cancelTimer = undefined;
    for (const proceed of this.waiting.splice(0)) proceed();
  }

  /** Records that a call was refused or got no answer. */
  noteFailed(): void {
    this.failing = true;
    this.lastFailedAt = this.clock.now();
  }

  /** Lets the next caller in order proceed after the pause, and doubles the pause. */
  private schedule(): void {
    if (this.cancelTimer !== undefined) return;
    const longest = this.answeredBefore ? MAX_PAUSE_MS : MAX_PAUSE_BEFORE_FIRST_ANSWER_MS;
    const delayMs = this.pauseMs * (1 - JITTER_SHARE * this.random.next());
    this.cancelTimer = this.clock.schedule(delayMs, () => {
      this.cancelTimer = undefined;
      this.waiting.shift()?.();
      if (this.waiting.length > 0) this.schedule();
    });
    this.pauseMs = Math.min(longest, this.pauseMs * 2);
  }
}

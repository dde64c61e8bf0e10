/**
 * Recognizes repeats of refused requests by keys that may stand for more than one client: clients behind one
 * address that ask for the same path have the same key.
 */
import { ReturningCallers, type ReturnCheck } from './returning-callers.js';

/** Time for which a key counts as shared after one of its requests was admitted, in milliseconds. */
const SHARED_MS = 3_500;
/** Early repeats after a refusal that are refused without being counted; more come from other clients. */
const MAX_EARLY = 3;
const MAX_KEYS = 4_096;

interface KeyState {
  admittedAt: number;
  early: number;
}

/** Refused callers of one entry node, by key. */
export class CallerKeys {
  private readonly callers = new ReturningCallers();
  /** In order of their last change. */
  private readonly states = new Map<string, KeyState>();

  noteRefused(now: number, key: string, retryAfterMs: number): void {
    this.callers.noteRefused(now, key, retryAfterMs);
    this.change(key).early = 0;
  }

  /**
   * Records that a request was admitted while others are refused. If one of the same key was refused shortly
   * before or is refused shortly after, the two come from different clients or from one that has returned.
   */
  noteAdmitted(now: number, key: string): void {
    this.change(key).admittedAt = now;
  }

  /** Finds out whether a request repeats a refused one. */
  check(now: number, key: string): ReturnCheck {
    const state = this.states.get(key);
    if (state === undefined || now - state.admittedAt < SHARED_MS) return { type: 'new' };
    const found = this.callers.check(now, key);
    if (found.type !== 'early') return found;
    state.early += 1;
    return state.early > MAX_EARLY ? { type: 'new' } : found;
  }

  private change(key: string): KeyState {
    const state = this.states.get(key) ?? { admittedAt: -Infinity, early: 0 };
    this.states.delete(key);
    this.states.set(key, state);
    if (this.states.size > MAX_KEYS) {
      const [oldest] = this.states.keys();
      this.states.delete(oldest!);
    }
    return state;
  }
}

/**
 * Tracks how recently the rules in force were confirmed to be the newest. A node whose confirmation is old may
 * have missed a change, and asks for one (see `freshness-refresher.ts`). A revoked API key must not be
 * accepted for longer than a set time, even at a node that does not receive the change: so keys are accepted
 * only if the rules were confirmed within that time.
 *
 * The rules are confirmed by a linearizable answer of the store, as of the time of the request, or by another
 * node that has such an answer. A wait for changes that is still in progress confirms nothing.
 */
import type { Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';

/** Confirmation of rules that one node sends to another. */
export interface RulesConfirmation {
  /** The store had acknowledged no version above this one. */
  readonly version: number;
  /** How long ago that was, in milliseconds. */
  readonly ageMs: number;
}

export interface RulesFreshnessOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Longest time since the last confirmation for which API keys are accepted, in milliseconds. */
  maxAgeMs(): number;
  /** Version in force at this node; 0: none. */
  rulesVersion(): number;
}

interface Confirmed {
  readonly version: number;
  readonly at: number;
}

/** Newest confirmation of the rules, and its age. */
export class RulesFreshness {
  private newest: Confirmed | undefined;
  private outdated = false;

  constructor(private readonly options: RulesFreshnessOptions) {}

  /** Records that the store, asked at this boot time, had acknowledged no version above this one. */
  confirm(version: number, at: number): void {
    const { clock, rulesVersion } = this.options;
    if (version === 0 || version > rulesVersion()) return;
    if (clock.bootNow() - at >= this.ageMs()) return;
    this.newest = { version, at };
    this.update();
  }

  /**
   * Records a confirmation from another node.
   *
   * @param requestedAt boot time of the request that the message answers; the message is not older
   */
  confirmByPeer({ version, ageMs }: RulesConfirmation, requestedAt: number): void {
    this.confirm(version, requestedAt - ageMs);
  }

  /** Confirmation to send to other nodes; undefined: none. */
  get confirmation(): RulesConfirmation | undefined {
    const { newest } = this;
    if (newest === undefined) return undefined;
    return { version: newest.version, ageMs: this.options.clock.bootNow() - newest.at };
  }

  /** Milliseconds since the last confirmation; infinite without one. */
  ageMs(): number {
    return this.newest === undefined ? Infinity : this.options.clock.bootNow() - this.newest.at;
  }

  /** Milliseconds for which API keys are accepted without another confirmation; 0 or less: they are refused. */
  remainingMs(): number {
    this.update();
    return this.options.maxAgeMs() - this.ageMs();
  }

  /** Discards the confirmation: the store was restored from an older copy. */
  reset(): void {
    this.newest = undefined;
    this.update();
  }

  /** Logs each change between accepted and refused API keys. */
  private update(): void {
    const ageMs = this.ageMs();
    const outdated = ageMs >= this.options.maxAgeMs();
    if (outdated === this.outdated) return;
    this.outdated = outdated;
    const event = outdated ? Event.RulesOutdated : Event.RulesConfirmed;
    const rules = this.options.rulesVersion();
    this.options.log.emit(
      event,
      Number.isFinite(ageMs) ? { rules, ageMs: Math.round(ageMs) } : { rules },
    );
  }
}

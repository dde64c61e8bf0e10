/**
 * Renews the confirmation of the rules, which bounds the time for which a node can miss a change: a wait for
 * changes whose connection has gone silent looks like one without changes. It also keeps API keys accepted.
 * Answers to calls confirm the rules as well. A node asks the sources first (see `confirmation-sources.ts`),
 * and the store only when they know no newer confirmation. Each node refreshes at another age, so that the
 * store's answers to the first nodes serve all.
 */
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import { pause } from '../../kernel/pause.js';
import type { RulesFreshness } from './rules-freshness.js';

/** Age of the confirmation at which the first nodes refresh it, in milliseconds. */
const FIRST_REFRESH_MS = 1_000;
/** Span of ages over which the other nodes follow, in milliseconds. */
const REFRESH_SPREAD_MS = 800;
/** Time in which other nodes of the region can reply before the store is asked, in milliseconds. */
const PEER_REPLY_WAIT_MS = 60;
/** Time for the connections to other nodes that could not be asked yet, in milliseconds. */
const PEER_CONNECT_WAIT_MS = 100;
/** Time until the next attempt when nobody answered, in milliseconds. */
const RETRY_MS = 300;
/** Time until the next attempt when the store answered with rules that this node cannot use, in milliseconds. */
const UNCONFIRMED_RETRY_MS = 1_000;

export interface FreshnessRefresherOptions {
  readonly clock: Clock;
  readonly freshness: RulesFreshness;
  /** Position of this node in the order in which nodes refresh, from 0 (first) to 1 (last). */
  readonly refreshPosition: number;
  /** Whether there are rules in force. */
  hasRules(): boolean;
  /** Whether the store is available to this node. */
  isStoreAvailable(): boolean;
  /** Asks the store; resolves with whether it answered. */
  queryStore(): Promise<boolean>;
  /**
   * Asks some other nodes, whose replies arrive later, and connects to those that cannot be asked yet.
   *
   * @returns the number of nodes asked
   */
  queryPeers(): number;
}

export class FreshnessRefresher {
  private cancelTimer: CancelTimer | undefined;
  private refreshing = false;
  private closed = false;

  constructor(private readonly options: FreshnessRefresherOptions) {}

  /** Starts refreshing; called when the rules have changed or the confirmation was discarded. */
  wake(): void {
    // Not at once: the answer that brought the rules confirms them right after they have come into force.
    if (this.cancelTimer === undefined && !this.refreshing) this.checkAfter(0);
  }

  /** Stops refreshing. */
  close(): void {
    this.closed = true;
    this.cancelTimer?.();
  }

  private check(): void {
    const { freshness, hasRules } = this.options;
    if (this.closed || !hasRules()) return;
    const delayMs = this.refreshAfterMs() - freshness.ageMs();
    if (delayMs > 0) this.checkAfter(delayMs);
    else void this.refresh();
  }

  /** Age at which the confirmation is refreshed, in milliseconds. */
  private refreshAfterMs(): number {
    return FIRST_REFRESH_MS + REFRESH_SPREAD_MS * this.options.refreshPosition;
  }

  private async refresh(): Promise<void> {
    const { queryPeers, queryStore, clock, freshness, isStoreAvailable } = this.options;
    this.refreshing = true;
    let asked = queryPeers();
    if (asked === 0) {
      await pause(clock, PEER_CONNECT_WAIT_MS);
      asked = queryPeers();
    }
    if (asked > 0) await pause(clock, PEER_REPLY_WAIT_MS);
    const isFresh = (): boolean => freshness.ageMs() < this.refreshAfterMs();
    const hasAnswered = !isFresh() && isStoreAvailable() && !this.closed && (await queryStore());
    this.refreshing = false;
    const retryMs = hasAnswered ? UNCONFIRMED_RETRY_MS : RETRY_MS;
    this.checkAfter(isFresh() ? this.refreshAfterMs() - freshness.ageMs() : retryMs);
  }

  private checkAfter(delayMs: number): void {
    if (this.closed) return;
    this.cancelTimer = this.options.clock.schedule(Math.max(1, delayMs), () => {
      this.cancelTimer = undefined;
      this.check();
    });
  }
}

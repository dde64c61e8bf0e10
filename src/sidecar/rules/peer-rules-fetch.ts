/**
 * Fetches newer rules from peers: from one at a time, and only what the store has not sent first. All nodes
 * announce a new version within a moment, so fetching from each of them would cause quadratic traffic after
 * a change or a fleet restart.
 */
import type { CancelTimer, Clock } from '../../kernel/clock.js';

/** Time for the store to send a change itself, in milliseconds; it needs only a few when it is available. */
const STORE_UPDATE_WAIT_MS = 100;
/** Longest wait for a peer's document before the next peer is asked, in milliseconds. */
const DOCUMENT_TIMEOUT_MS = 300;
/** Number of offers that are kept; the oldest are dropped. */
const MAX_OFFERS = 8;

export interface PeerRulesFetchOptions {
  readonly clock: Clock;
  /** Version in force at this node; 0: none. */
  currentVersion(): number;
}

/** A peer with newer rules. */
interface Offer {
  readonly version: number;
  readonly request: () => void;
}

/** Requests newer rules from the peers that have announced them. */
export class PeerRulesFetch {
  private offers: readonly Offer[] = [];
  private cancelTimer: CancelTimer | undefined;

  constructor(private readonly options: PeerRulesFetchOptions) {}

  /**
   * Called when a peer announces the version of its rules.
   *
   * @param request requests this peer's rules
   */
  onPeerVersion(version: number, request: () => void): void {
    if (version <= this.options.currentVersion()) return;
    this.offers = [...this.offers, { version, request }].slice(-MAX_OFFERS);
    this.cancelTimer ??= this.scheduleRequest(STORE_UPDATE_WAIT_MS);
  }

  /** Stops requesting rules. */
  close(): void {
    this.cancelTimer?.();
    this.offers = [];
  }

  private scheduleRequest(delayMs: number): CancelTimer {
    return this.options.clock.schedule(delayMs, () => {
      this.cancelTimer = undefined;
      this.requestNext();
    });
  }

  /** Requests the rules from the latest peer of those with the newest version. */
  private requestNext(): void {
    const current = this.options.currentVersion();
    const useful = this.offers.filter(({ version }) => version > current);
    const newest = Math.max(...useful.map(({ version }) => version));
    const chosen = useful.findLast(({ version }) => version === newest);
    this.offers = useful.filter((offer) => offer !== chosen);
    if (chosen === undefined) return;
    chosen.request();
    this.cancelTimer = this.scheduleRequest(DOCUMENT_TIMEOUT_MS);
  }
}

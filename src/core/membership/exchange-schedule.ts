/** Schedules full state exchanges: periodically, with joining members, and when views differ. */
import type { MembershipMessage } from './membership-message.js';
import { sample } from './probe-order.js';
import type { ProtocolState } from './protocol-state.js';

/** Average interval between exchanges until the first one has succeeded. */
const JOIN_INTERVAL_MS = 1_000;
/** Minimum interval between exchanges that joining or returning members cause. */
const MIN_JOIN_EXCHANGE_INTERVAL_MS = 2_000;
/** Time for which this node's view must be unchanged before a different one causes an exchange. */
const STABLE_VIEW_MS = 800;
/** Minimum interval between exchanges that different views cause. */
const MIN_REPAIR_INTERVAL_MS = 2_000;

/** Decides when to exchange state with which member. */
export class ExchangeSchedule {
  /** Whether an exchange has succeeded, so that this node knows the fleet. */
  hasJoined = false;
  private nextAt = Infinity;
  private lastJoinExchangeAt = -Infinity;
  private lastRepairAt = -Infinity;
  /** Hash of this node's view, and the time since which it is unchanged. */
  private lastHash = 0;
  private unchangedSince = 0;

  constructor(private readonly state: ProtocolState) {}

  nextTimer(): number {
    return this.nextAt;
  }

  /** Plans the next exchange. */
  plan(now: number): void {
    const interval = this.hasJoined ? this.state.options.syncIntervalMs : JOIN_INTERVAL_MS;
    this.nextAt = now + interval * (0.5 + this.state.random.next());
  }

  onTimer(now: number): void {
    if (now < this.nextAt) return;
    this.plan(now);
    const [entry] = sample(this.state.table.listLive(), 1, this.state.random);
    if (entry !== undefined) this.exchange(entry.facts.nodeId);
  }

  /** Handles a member that is new or has returned, perhaps with others that were partitioned. */
  onJoined(now: number, nodeId: string): void {
    if (this.hasJoined && now - this.lastJoinExchangeAt < MIN_JOIN_EXCHANGE_INTERVAL_MS) return;
    this.lastJoinExchangeAt = now;
    this.exchange(nodeId);
  }

  /**
   * Starts an exchange with a node whose view stays different, because one of the two has missed
   * an update; does not wait for the next planned exchange.
   */
  compareViews(now: number, { from, stateHash }: MembershipMessage): void {
    if (stateHash === this.state.stateHash || !this.state.isReachable(from)) return;
    if (this.state.stateHash !== this.lastHash) return;
    if (now - this.unchangedSince < STABLE_VIEW_MS) return;
    if (now - this.lastRepairAt < MIN_REPAIR_INTERVAL_MS) return;
    this.lastRepairAt = now;
    this.exchange(from);
  }

  /** Tracks since when this node's view is unchanged; called at the end of each input. */
  observeView(now: number): void {
    const { stateHash } = this.state;
    if (stateHash === this.lastHash) return;
    this.lastHash = stateHash;
    this.unchangedSince = now;
  }

  private exchange(nodeId: string): void {
    this.state.emit({ type: 'sync', nodeId });
  }
}

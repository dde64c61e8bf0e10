/** When full state is exchanged: in turn, with members that join, and where views differ. */
import type { MembershipMessage } from './membership-message.js';
import { sample } from './probe-order.js';
import type { ProtocolState } from './protocol-state.js';

/** Average pause until the first exchange has worked. */
const JOIN_INTERVAL_MS = 1_000;
/** Pause between exchanges that members coming up or back give rise to. */
const RETURN_PAUSE_MS = 2_000;
/** Time for which a view must stand before a different one calls for an exchange. */
const STABLE_VIEW_MS = 800;
/** Pause between exchanges that different views give rise to. */
const REPAIR_PAUSE_MS = 2_000;

/** Decides on state exchanges. */
export class ExchangeSchedule {
  /** Whether an exchange has worked: this node knows the fleet. */
  hasJoined = false;
  private at = Infinity;
  private lastReturnAt = -Infinity;
  private lastRepairAt = -Infinity;
  /** This node's view, and since when it has stood. */
  private stableHash = 0;
  private stableSince = 0;

  constructor(private readonly state: ProtocolState) {}

  nextTimer(): number {
    return this.at;
  }

  /** Plans the next exchange. */
  plan(now: number): void {
    const interval = this.hasJoined ? this.state.options.syncIntervalMs : JOIN_INTERVAL_MS;
    this.at = now + interval * (0.5 + this.state.random.next());
  }

  onTimer(now: number): void {
    if (now < this.at) return;
    this.plan(now);
    const [entry] = sample(this.state.table.listLive(), 1, this.state.random);
    if (entry !== undefined) this.exchange(entry.facts.nodeId);
  }

  /** A member is new or has come back, perhaps with others that were cut off. */
  onJoined(now: number, nodeId: string): void {
    if (this.hasJoined && now - this.lastReturnAt < RETURN_PAUSE_MS) return;
    this.lastReturnAt = now;
    this.exchange(nodeId);
  }

  /** A view that stays different has missed something: no need to wait for the next turn. */
  compareViews(now: number, { from, stateHash }: MembershipMessage): void {
    if (stateHash === this.state.stateHash || !this.state.isReachable(from)) return;
    if (this.state.stateHash !== this.stableHash) return;
    if (now - this.stableSince < STABLE_VIEW_MS) return;
    if (now - this.lastRepairAt < REPAIR_PAUSE_MS) return;
    this.lastRepairAt = now;
    this.exchange(from);
  }

  /** Notes how long this node's view has stood; called at the end of each input. */
  observeView(now: number): void {
    const { stateHash } = this.state;
    if (stateHash === this.stableHash) return;
    this.stableHash = stateHash;
    this.stableSince = now;
  }

  private exchange(nodeId: string): void {
    this.state.emit({ type: 'sync', nodeId });
  }
}

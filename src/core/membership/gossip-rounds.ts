/** When and to whom waiting updates are sent by themselves, within a byte budget. */
import { sample } from './probe-order.js';
import type { ProtocolState } from './protocol-state.js';

/** Pause in which updates that arrive together are gathered into one datagram. */
const GATHER_MS = 10;

/** Rounds of gossip to a few random members while something waits. */
export class GossipRounds {
  private at = Infinity;
  private lastAt = -Infinity;
  /** Bytes that may be used now. */
  private credit = 0;

  constructor(private readonly state: ProtocolState) {}

  nextTimer(): number {
    return this.at;
  }

  /** Plans a round when something waits and none is planned. */
  plan(now: number): void {
    const { queue, table, options } = this.state;
    if (this.at !== Infinity || queue.isEmpty || table.listLive().length === 0) return;
    this.at = Math.max(now + GATHER_MS, this.lastAt + options.gossipIntervalMs);
  }

  onTimer(now: number): void {
    if (now < this.at) return;
    const { state } = this;
    const { gossipBytesPerSecond, gossipFanOut } = state.options;
    const earned = ((now - this.lastAt) / 1_000) * gossipBytesPerSecond;
    this.credit = Math.min(gossipBytesPerSecond, this.credit + earned);
    this.lastAt = now;
    this.at = Infinity;
    if (this.credit <= 0) return;
    for (const { facts } of sample(state.table.listLive(), gossipFanOut, state.random)) {
      if (state.queue.isEmpty) return;
      this.credit -= state.send(facts.peerAddress, { type: 'gossip' });
    }
  }
}

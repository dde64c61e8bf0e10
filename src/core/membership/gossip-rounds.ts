/** Schedules datagrams that carry only waiting updates, within a byte budget. */
import { sample } from './probe-order.js';
import type { ProtocolState } from './protocol-state.js';

/** Delay that batches updates which arrive together into one datagram. */
const BATCH_DELAY_MS = 10;

/** Sends rounds of gossip to a few random members while updates wait. */
export class GossipRounds {
  private nextAt = Infinity;
  private lastAt = -Infinity;
  /** Bytes that may be sent now. */
  private credit = 0;

  constructor(private readonly state: ProtocolState) {}

  nextTimer(): number {
    return this.nextAt;
  }

  /** Plans a round when updates wait and none is planned. */
  plan(now: number): void {
    const { queue, table, options } = this.state;
    if (this.nextAt !== Infinity || queue.isEmpty || table.listLive().length === 0) return;
    this.nextAt = Math.max(now + BATCH_DELAY_MS, this.lastAt + options.gossipIntervalMs);
  }

  onTimer(now: number): void {
    if (now < this.nextAt) return;
    const { state } = this;
    const { gossipBytesPerSecond, gossipFanOut } = state.options;
    const earned = ((now - this.lastAt) / 1_000) * gossipBytesPerSecond;
    this.credit = Math.min(gossipBytesPerSecond, this.credit + earned);
    this.lastAt = now;
    this.nextAt = Infinity;
    if (this.credit <= 0) return;
    for (const { facts } of sample(state.table.listLive(), gossipFanOut, state.random)) {
      if (state.queue.isEmpty) return;
      this.credit -= state.send(facts.peerAddress, { type: 'gossip' });
    }
  }
}

/** Pings addresses where a member may have started or returned. */
import { sample } from './probe-order.js';
import type { ProtocolState } from './protocol-state.js';

/** Interval between pings while this node knows no other member, and seeds pinged at once. */
const ALONE_INTERVAL_MS = 1_000;
const ALONE_SEEDS = 3;

/**
 * Joins through the seeds, and finds the other side again after a partition: sends one ping per
 * interval to a seed or a failed member, so that the cost does not depend on their number.
 */
export class Rejoin {
  private readonly seeds = new Set<string>();
  private nextAt = Infinity;

  constructor(
    private readonly state: ProtocolState,
    private readonly nextNumber: () => number,
  ) {}

  nextTimer(): number {
    return this.nextAt;
  }

  start(now: number): void {
    this.nextAt = now;
  }

  /** Adds addresses; pings at once when this node has started and knows no other member. */
  addSeeds(now: number, addresses: readonly string[]): void {
    for (const address of addresses) {
      if (address !== this.state.self.peerAddress) this.seeds.add(address);
    }
    if (this.isAlone && this.nextAt !== Infinity) this.nextAt = now;
  }

  onTimer(now: number): void {
    if (now < this.nextAt) return;
    const { state, isAlone } = this;
    const interval = isAlone ? ALONE_INTERVAL_MS : state.options.rejoinIntervalMs;
    this.nextAt = now + interval * (0.75 + 0.5 * state.random.next());
    const absent = [...this.listAddresses()].filter(
      (address) => state.table.findLiveByAddress(address) === undefined,
    );
    for (const address of sample(absent, isAlone ? ALONE_SEEDS : 1, state.random)) {
      const probe = this.nextNumber();
      state.send(address, { type: 'ping', probe, to: '' }, [state.describeSelf()]);
    }
  }

  private get isAlone(): boolean {
    return this.state.table.listLive().length === 0;
  }

  private listAddresses(): Set<string> {
    const addresses = new Set(this.seeds);
    for (const { facts, failedAt, leaving } of this.state.table.all()) {
      if (failedAt !== undefined && !leaving) addresses.add(facts.peerAddress);
    }
    return addresses;
  }
}

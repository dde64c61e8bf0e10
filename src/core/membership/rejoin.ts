/** Pings of addresses where a member may have come up or come back. */
import { sample } from './probe-order.js';
import type { ProtocolState } from './protocol-state.js';

/** Pause between pings while this node knows nobody, and seeds pinged at once. */
const ALONE_INTERVAL_MS = 1_000;
const ALONE_SEEDS = 3;

/**
 * Joins by the seeds, and after a cut finds the other side again: one ping an interval to
 * a seed or a failed member, so that the cost does not depend on their number.
 */
export class Rejoin {
  private readonly seeds = new Set<string>();
  private at = Infinity;

  constructor(
    private readonly state: ProtocolState,
    private readonly nextNumber: () => number,
  ) {}

  nextTimer(): number {
    return this.at;
  }

  start(now: number): void {
    this.at = now;
  }

  /** Adds addresses; tries at once when this node has started and knows nobody. */
  addSeeds(now: number, addresses: readonly string[]): void {
    for (const address of addresses) {
      if (address !== this.state.self.peerAddress) this.seeds.add(address);
    }
    if (this.isAlone && this.at !== Infinity) this.at = now;
  }

  onTimer(now: number): void {
    if (now < this.at) return;
    const { state, isAlone } = this;
    const interval = isAlone ? ALONE_INTERVAL_MS : state.options.rejoinIntervalMs;
    this.at = now + interval * (0.75 + 0.5 * state.random.next());
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

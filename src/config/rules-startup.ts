/**
 * Loads the rules when a node starts:
 *
 * - from the platform and then, because its answer may have been slow, from a few ready peers
 *   of the own zone
 * - when the platform fails, from all reachable ready peers of the own zone
 * - when the zone has none, from peers of other zones
 *
 * A node that reaches none of them stays not ready: it cannot know which rules are in force.
 * See docs/design/configuration.md for what this guarantees.
 */
import type { Random } from '../core/random.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import type { Member, Membership } from '../membership/membership.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import type { PlatformClient } from '../etcd/platform-client.js';
import type { RevisionRecord } from './config-store.js';
import { fetchRules } from './rules-fetch.js';
import { readSnapshot } from './stored-revision.js';

/** Pause between rounds, in milliseconds, before jitter; doubles up to the maximum. */
const MIN_ROUND_INTERVAL_MS = 500;
const MAX_ROUND_INTERVAL_MS = 2_000;
/** Peers queried at the same time. */
const BATCH_SIZE = 8;
/** Peers of the own zone queried after a read of the platform; one reply is enough. */
const PEERS_QUERIED_AFTER_READ = 3;
/** Most peers of other zones that are queried in one round. */
const MAX_OTHER_ZONE_PEERS = 16;
/** Time after which other zones are queried; membership knows the own zone's peers by then. */
const OTHER_ZONES_AFTER_MS = 3_000;

export interface RulesStartupOptions {
  readonly platform: PlatformClient;
  readonly membership: Membership;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  /** Called once, with everything that was read; nothing comes into force before. */
  readonly onLoaded: (records: readonly RevisionRecord[]) => void;
}

/** Runs rounds until the rules are loaded or the loading is stopped. */
export class RulesStartup {
  private finished = false;
  private startedAt = 0;
  private rounds = 0;
  private collected: RevisionRecord[] = [];
  private cancelTimer: CancelTimer = () => {};

  constructor(private readonly options: RulesStartupOptions) {}

  start(): void {
    this.startedAt = this.options.clock.now();
    void this.runRound();
  }

  /** Ends the rounds without a result (the node stops, or the rules were loaded otherwise). */
  stop(): void {
    this.finished = true;
    this.cancelTimer();
  }

  private async runRound(): Promise<void> {
    const loaded = (await this.loadFromPlatform()) || (await this.loadFromPeers());
    if (this.finished) return;
    if (loaded) {
      this.stop();
      this.options.onLoaded(this.collected);
      return;
    }
    const { clock, random } = this.options;
    const intervalMs = Math.min(MAX_ROUND_INTERVAL_MS, MIN_ROUND_INTERVAL_MS * 2 ** this.rounds);
    this.rounds += 1;
    const delayMs = intervalMs * (0.5 + random.next());
    this.cancelTimer = clock.schedule(delayMs, () => void this.runRound());
  }

  private async loadFromPlatform(): Promise<boolean> {
    const read = await readSnapshot(this.options.platform);
    if (this.finished || read.isErr) return false;
    this.collected.push(...read.value.records);
    // The answer may have been slow: the zone may have newer rules in force by now.
    await this.queryAll(this.readyPeersInZone().slice(0, PEERS_QUERIED_AFTER_READ));
    return true;
  }

  private async loadFromPeers(): Promise<boolean> {
    const { clock } = this.options;
    const inZone = this.readyPeersInZone();
    if (inZone.length > 0) return this.queryAll(inZone);
    if (clock.now() - this.startedAt < OTHER_ZONES_AFTER_MS) return false;
    const newestFirst = [...this.readyPeers()].sort((a, b) => b.configVersion - a.configVersion);
    return this.queryAll(newestFirst.slice(0, MAX_OTHER_ZONE_PEERS));
  }

  private readyPeers(): readonly Member[] {
    const { membership } = this.options;
    const { nodeId } = membership.self();
    return membership.members().filter((member) => member.nodeId !== nodeId && member.ready);
  }

  private readyPeersInZone(): readonly Member[] {
    const { zone } = this.options.membership.self();
    return this.readyPeers().filter((member) => member.zone === zone);
  }

  /** Queries every peer; true when at least one has replied. */
  private async queryAll(peers: readonly Member[]): Promise<boolean> {
    const { network } = this.options;
    let answered = false;
    for (let start = 0; start < peers.length; start += BATCH_SIZE) {
      const batch = peers.slice(start, start + BATCH_SIZE);
      const after = Math.max(0, ...this.collected.map(({ version }) => version));
      const calls = batch.map(({ nodeId }) => fetchRules(network, nodeId, after));
      for (const reply of await Promise.all(calls)) {
        if (this.finished) return false;
        if (reply.isErr) continue;
        answered = true;
        this.collected.push(...reply.value);
      }
    }
    return answered;
  }
}

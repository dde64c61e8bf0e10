/**
 * Pulls rules from peers that have a higher version, so that changes spread without the
 * platform: a peer of the own zone first, then of the own region, then any; one call at a time.
 */
import type { Random } from '../core/random.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import type { Member, Membership } from '../membership/membership.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import type { RevisionRecord } from './config-store.js';
import { fetchRules } from './rules-fetch.js';

/** Upper bound of the random delay before a pull, which spreads the pulls of many nodes. */
const MAX_DELAY_MS = 300;
/** Added when no peer of the own zone has the version yet: the zone's watchers soon get it. */
const OTHER_ZONE_DELAY_MS = 300;
/** Time for which no more is pulled from a peer that failed or had nothing newer. */
const AVOID_MS = 2_000;

export interface PeerRulesPullOptions {
  readonly membership: Membership;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  /** Highest version that the node has. */
  readonly currentVersion: () => number;
  readonly onRecords: (records: readonly RevisionRecord[]) => void;
}

/** Pulls whenever {@link PeerRulesPull.check} finds a peer with a higher version. */
export class PeerRulesPull {
  private busy = false;
  private stopped = false;
  private cancelTimer: CancelTimer = () => {};
  private readonly avoidedUntil = new Map<string, number>();

  constructor(private readonly options: PeerRulesPullOptions) {}

  /** Looks for a peer with a higher version; call it after each change of the members. */
  check(): void {
    if (this.busy || this.stopped) return;
    const peers = this.findPeers();
    if (peers.length === 0) return;
    this.busy = true;
    const { clock, random, membership } = this.options;
    const isInZone = peers.some(({ zone }) => zone === membership.self().zone);
    const delayMs = random.next() * MAX_DELAY_MS + (isInZone ? 0 : OTHER_ZONE_DELAY_MS);
    this.cancelTimer = clock.schedule(delayMs, () => void this.pull());
  }

  stop(): void {
    this.stopped = true;
    this.cancelTimer();
  }

  private async pull(): Promise<void> {
    const { network, currentVersion, onRecords, clock } = this.options;
    const peer = this.choose(this.findPeers());
    if (peer !== undefined) {
      const before = currentVersion();
      const reply = await fetchRules(network, peer.nodeId, before);
      if (this.stopped) return;
      if (reply.isOk) onRecords(reply.value);
      const isAhead = peer.configVersion > currentVersion();
      if (isAhead) this.avoidedUntil.set(peer.nodeId, clock.now() + AVOID_MS);
    }
    this.busy = false;
    this.check();
  }

  private findPeers(): readonly Member[] {
    const { membership, currentVersion, clock } = this.options;
    const now = clock.now();
    for (const [node, until] of this.avoidedUntil) {
      if (until <= now) this.avoidedUntil.delete(node);
    }
    const own = membership.self().nodeId;
    return membership
      .members()
      .filter(({ nodeId, configVersion }) => nodeId !== own && configVersion > currentVersion())
      .filter(({ nodeId }) => !this.avoidedUntil.has(nodeId));
  }

  private choose(peers: readonly Member[]): Member | undefined {
    const { membership, random } = this.options;
    const self = membership.self();
    const inZone = peers.filter(({ zone }) => zone === self.zone);
    const inRegion = peers.filter(({ region }) => region === self.region);
    const nearest = [inZone, inRegion, peers].find((group) => group.length > 0);
    return nearest?.[random.nextInt(nearest.length)];
  }
}

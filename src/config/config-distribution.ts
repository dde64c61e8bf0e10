/**
 * Brings accepted rules into force at this node and passes them on.
 *
 * Every way in (platform read, watch, peer, own acceptance) gives all changes up to a version,
 * so that a store's highest version says what it has: the newest record of each tenant up to
 * that version. Membership spreads the version; peers with a lower one pull.
 */
import { createRandom } from '../core/random.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import type { Membership } from '../membership/membership.js';
import { isZoneWatcher } from '../membership/zone-watchers.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import type { PlatformClient } from '../etcd/platform-client.js';
import type { ConfigStore, RevisionRecord } from './config-store.js';
import { PeerRulesPull } from './peer-rules-pull.js';
import { PlatformRulesWatch } from './platform-rules-watch.js';
import { answerRulesFetch } from './rules-fetch.js';
import { RulesStartup } from './rules-startup.js';

/** Interval at which roles and peers are looked at also without a change of the members. */
const CHECK_INTERVAL_MS = 1_000;

/** Delay of the check after a change of the members. */
const CHECK_DELAY_MS = 50;

/** Interval of the checks during a planned stop. */
const HAND_OVER_CHECK_MS = 50;

/** What the distribution works with. */
export interface ConfigDistributionOptions {
  readonly store: ConfigStore;
  readonly platform: PlatformClient;
  readonly membership: Membership;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Seed of all jitter. */
  readonly seed: number;
}

/** The distribution of one node. */
export class ConfigDistribution {
  private loaded = false;
  private readonly startup: RulesStartup;
  private readonly watch: PlatformRulesWatch;
  private readonly pull: PeerRulesPull;
  private unsubscribe: () => void = () => {};
  private cancelTimer: CancelTimer = () => {};
  private nextCheckAt = Number.POSITIVE_INFINITY;

  constructor(private readonly options: ConfigDistributionOptions) {
    const parts = {
      ...options,
      random: createRandom(options.seed),
      currentVersion: () => options.store.version,
      onRecords: (records: readonly RevisionRecord[]) => {
        this.takeIn(records);
      },
    };
    const onLoaded = (records: readonly RevisionRecord[]) => {
      this.load(records);
    };
    this.startup = new RulesStartup({ ...parts, onLoaded });
    this.watch = new PlatformRulesWatch(parts);
    this.pull = new PeerRulesPull(parts);
  }

  /** Whether this node follows the platform for its zone now. */
  get watching(): boolean {
    return this.watch.running;
  }

  start(): void {
    const { network, store, membership } = this.options;
    answerRulesFetch(network, store, () => this.loaded);
    this.unsubscribe = membership.subscribe(() => {
      this.checkWithin(CHECK_DELAY_MS);
    });
    this.checkWithin(CHECK_INTERVAL_MS);
    this.startup.start();
  }

  stop(): void {
    this.unsubscribe();
    this.cancelTimer();
    this.startup.stop();
    this.watch.stop();
    this.pull.stop();
  }

  /**
   * Planned stop: waits until another node has this node's version, of the own zone when it
   * has one, so that a change accepted in an outage of the platform is not lost with the node.
   *
   * @param limitMs longest wait
   */
  async handOver(limitMs: number): Promise<void> {
    const { clock } = this.options;
    const end = clock.now() + limitMs;
    while (!this.isHandedOver() && clock.now() < end) {
      await new Promise<void>((resolve) => clock.schedule(HAND_OVER_CHECK_MS, resolve));
    }
  }

  /** Takes in a complete read of the platform made by the repository, with the accepted change. */
  acceptSnapshot(records: readonly RevisionRecord[]): void {
    this.startup.stop();
    this.load(records);
  }

  private isHandedOver(): boolean {
    const { membership, store } = this.options;
    const { nodeId, zone } = membership.self();
    const others = membership
      .members()
      .filter((member) => member.nodeId !== nodeId && member.state === 'alive');
    const inZone = others.filter((member) => member.zone === zone);
    const successors = inZone.length > 0 ? inZone : others;
    if (successors.length === 0) return true;
    return successors.some(({ configVersion }) => configVersion >= store.version);
  }

  private load(records: readonly RevisionRecord[]): void {
    this.loaded = true;
    this.takeIn(records);
    this.check();
  }

  private takeIn(records: readonly RevisionRecord[]): void {
    const { store, log } = this.options;
    const before = store.version;
    for (const record of [...records].sort((a, b) => a.version - b.version)) {
      const { tenant, revision, version } = record;
      const known = store.find(tenant)?.revision ?? 0;
      if (store.offer(record)) log.emit(Event.RulesInForce, { tenant, revision, version });
      else if (known > revision) log.emit(Event.OlderRevisionIgnored, { tenant, revision, known });
    }
    if (store.version > before) this.publish(before === 0);
  }

  /** Peers may ask once they hear of the version, so it is told only after the last record. */
  private publish(isFirst: boolean): void {
    const { membership, store } = this.options;
    const facts = { configVersion: store.version };
    // Later the entry decides: a node that is stopping is not made ready again.
    membership.update(isFirst ? { ...facts, ready: true } : facts);
  }

  private check(): void {
    if (!this.loaded) return;
    if (isZoneWatcher(this.options.membership)) this.watch.start();
    else this.watch.stop();
    this.pull.check();
  }

  /** Many changes of the members at once cost one check. */
  private checkWithin(delayMs: number): void {
    const { clock } = this.options;
    const at = clock.now() + delayMs;
    if (at >= this.nextCheckAt) return;
    this.nextCheckAt = at;
    this.cancelTimer();
    this.cancelTimer = clock.schedule(delayMs, () => {
      this.nextCheckAt = Number.POSITIVE_INFINITY;
      this.check();
      this.checkWithin(CHECK_INTERVAL_MS);
    });
  }
}

/**
 * Brings accepted rules into force at this node and distributes them to its peers.
 *
 * Every source (platform read, watch, peer, change accepted here) delivers all changes up to a
 * version. A store's highest version therefore says what it holds: the newest record of each
 * tenant up to that version. Membership gossips the version; peers with a lower one pull.
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
import { serveRulesFetch } from './rules-fetch.js';
import { RulesStartup } from './rules-startup.js';

/** Interval of the checks of roles and peers while the members do not change. */
const CHECK_INTERVAL_MS = 1_000;

/** Delay of the check after a change of the members. */
const CHECK_DELAY_MS = 50;

/** Interval of the checks during a planned stop. */
const REPLICATION_CHECK_INTERVAL_MS = 50;

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

/** Distribution of the rules at one node. */
export class ConfigDistribution {
  private loaded = false;
  private readonly startup: RulesStartup;
  private readonly watch: PlatformRulesWatch;
  private readonly pull: PeerRulesPull;
  private unsubscribe: () => void = () => {};
  private cancelTimer: CancelTimer = () => {};
  private nextCheckAt = Number.POSITIVE_INFINITY;

  constructor(private readonly options: ConfigDistributionOptions) {
    const shared = {
      ...options,
      random: createRandom(options.seed),
      currentVersion: () => options.store.version,
      onRecords: (records: readonly RevisionRecord[]) => {
        this.offerRecords(records);
      },
    };
    const onLoaded = (records: readonly RevisionRecord[]) => {
      this.load(records);
    };
    this.startup = new RulesStartup({ ...shared, onLoaded });
    this.watch = new PlatformRulesWatch(shared);
    this.pull = new PeerRulesPull(shared);
  }

  /** Whether this node watches the platform for its zone now. */
  get watching(): boolean {
    return this.watch.running;
  }

  start(): void {
    const { network, store, membership } = this.options;
    serveRulesFetch(network, store, () => this.loaded);
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
   * Waits, at a planned stop, until another node has this node's version, so that a change
   * accepted in an outage of the platform is not lost with this node. Only nodes of the same
   * zone count if there are any.
   *
   * @param limitMs longest wait
   */
  async waitForReplication(limitMs: number): Promise<void> {
    const { clock } = this.options;
    const end = clock.now() + limitMs;
    while (!this.isReplicated() && clock.now() < end) {
      await new Promise<void>((resolve) => clock.schedule(REPLICATION_CHECK_INTERVAL_MS, resolve));
    }
  }

  /** Loads a complete read of the platform by the repository, with the change it accepted. */
  acceptSnapshot(records: readonly RevisionRecord[]): void {
    this.startup.stop();
    this.load(records);
  }

  private isReplicated(): boolean {
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
    this.offerRecords(records);
    this.check();
  }

  private offerRecords(records: readonly RevisionRecord[]): void {
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

  /** Peers may pull as soon as they see the version, so it is set only after the last record. */
  private publish(isFirst: boolean): void {
    const { membership, store } = this.options;
    const facts = { configVersion: store.version };
    // Later the entry decides on readiness: a stopping node must not become ready again.
    membership.update(isFirst ? { ...facts, ready: true } : facts);
  }

  private check(): void {
    if (!this.loaded) return;
    if (isZoneWatcher(this.options.membership)) this.watch.start();
    else this.watch.stop();
    this.pull.check();
  }

  /** Coalesces the checks: many changes of the members at once cause one check. */
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

/**
 * Decides which node counts the limits of a group of tenants: the holder of the group's key in the store,
 * under a lease. The holder stops by its own clock before the lease can expire, so that two nodes never count
 * at the same time. A process counts only after it has written the key itself: a write of an earlier process
 * whose answer was lost may still be applied, but not once the key has another revision.
 */
import type { Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { Result } from 'true-myth';
import type { MetadataStore, StoreFailure, StoreItem } from '../../store/metadata-store.js';

/** TTL of the lease, in milliseconds; after a holder has failed, no node counts for this long. */
const LEASE_TTL_MS = 4_000;
/** The holder stops counting this long before the lease can expire, in milliseconds. */
const LEASE_MARGIN_MS = 200;
const RENEW_INTERVAL_MS = 1_000;
/** The holder checks its key at each so many renewals; stale reads make a check cost as much as a renewal. */
const RENEWALS_PER_CHECK = 3;
/** Minimum time between attempts to become the holder, in milliseconds. */
const ATTEMPT_INTERVAL_MS = 200;
/** Value of a key that its holder has released. */
const NO_HOLDER = '';
/** Prefix of the keys of all groups. */
export const QUOTA_KEY_PREFIX = 'sillshore/quota/';

export interface QuotaLeaseOptions {
  readonly group: number;
  readonly node: string;
  readonly store: MetadataStore;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Called when this node starts counting; it knows nothing of what was counted before. */
  onAcquired(): void;
}

/** A write of the key. */
interface KeyWrite {
  readonly holder: string;
  /** Lease with which the key expires; absent: none. */
  readonly lease?: string;
  /** Revision that the key must have; 0: it must not exist. */
  readonly expected: number;
}

/** Reads a group's key from the store; the answer is not older than the call. */
export type ReadGroupKey = (key: string) => Promise<Result<StoreItem | undefined, StoreFailure>>;

/** How a node came to count: it found no holder, or it continues the lease of an earlier process of its own. */
type Acquisition = 'acquired' | 'adopted';

/** Lease of one group, as seen by this node. */
export class QuotaLease {
  private lease: string | undefined;
  /** Revision of the key that this process has written; undefined: none in this era of the store. */
  private revision: number | undefined;
  private renewals = 0;
  /** Boot time of the last request to the store that confirmed the lease. */
  private confirmedAt = -Infinity;
  private attempt: Promise<void> | undefined;
  private lastAttemptAt = -Infinity;
  /** Boot time until which another node may still count without holding the key in the store. */
  private othersMayCountUntil = -Infinity;
  private knownHolder: string | undefined;
  private cancelRenewal: () => void = () => {};
  private closed = false;

  constructor(private readonly options: QuotaLeaseOptions) {}

  /** Whether this node holds the lease, and so counts, now. */
  get isHeld(): boolean {
    if (this.lease === undefined) return false;
    return this.options.clock.bootNow() - this.confirmedAt < LEASE_TTL_MS - LEASE_MARGIN_MS;
  }

  /** The node that held the key when the store was last read; undefined: none, or unknown. */
  get holder(): string | undefined {
    return this.knownHolder;
  }

  /**
   * Tries to become the holder; resolves whether this succeeded or failed.
   *
   * @param readKey reads the key; by default with a call of its own
   */
  acquire(readKey: ReadGroupKey = (key) => this.options.store.read(key)): Promise<void> {
    if (this.closed || this.isHeld || this.isWaitingForOthers) return Promise.resolve();
    const { clock } = this.options;
    if (this.attempt === undefined && clock.now() - this.lastAttemptAt >= ATTEMPT_INTERVAL_MS) {
      this.lastAttemptAt = clock.now();
      this.attempt = this.tryAcquire(readKey).finally(() => {
        this.attempt = undefined;
      });
    }
    return this.attempt ?? Promise.resolve();
  }

  /**
   * Called when the store was restored from an older copy, which may lack the key. The former holder may not
   * know this yet and still count; only the former holder may acquire the key again at once.
   */
  reset(): void {
    if (!this.isHeld) this.othersMayCountUntil = this.options.clock.bootNow() + LEASE_TTL_MS;
    // The store assigns revisions again.
    this.revision = undefined;
    this.lose('the store was restored from an older copy');
  }

  /** Releases the key, so that another node can acquire it at once. */
  async close(): Promise<void> {
    this.closed = true;
    this.cancelRenewal();
    if (!this.isHeld || this.revision === undefined) return;
    this.lease = undefined;
    const written = await this.write({ holder: NO_HOLDER, expected: this.revision });
    const detail = written === undefined ? 'the release is not confirmed' : 'released';
    this.options.log.emit(Event.QuotaCountingEnded, { group: this.options.group, detail });
  }

  private get isWaitingForOthers(): boolean {
    return this.options.clock.bootNow() < this.othersMayCountUntil;
  }

  private get key(): string {
    return `${QUOTA_KEY_PREFIX}${this.options.group}`;
  }

  private async tryAcquire(readKey: ReadGroupKey): Promise<void> {
    const { node, clock } = this.options;
    const requestedAt = clock.bootNow();
    const read = await readKey(this.key);
    if (read.isErr) return;
    const item = read.value;
    const holder = item?.value.toString('utf8') ?? NO_HOLDER;
    this.knownHolder = holder === NO_HOLDER ? undefined : holder;
    if (holder === node) await this.adopt(item!, requestedAt);
    else if (holder === NO_HOLDER) await this.acquireKey(item?.revision ?? 0);
  }

  /** Continues a lease of this node, after a write of the key unless this process has written it last. */
  private async adopt({ lease, revision }: StoreItem, requestedAt: number): Promise<void> {
    if (lease === undefined) return;
    const renewed = await this.options.store.renewLease(lease);
    if (renewed.isErr || !renewed.value || this.closed) return;
    const isOwn = revision === this.revision;
    const own = isOwn ? revision : await this.write({ ...this.holding(lease), expected: revision });
    if (own !== undefined) this.onHeld(lease, own, requestedAt, 'adopted');
  }

  private async acquireKey(expected: number): Promise<void> {
    const { store, clock } = this.options;
    const requestedAt = clock.bootNow();
    const granted = await store.grantLease(LEASE_TTL_MS);
    if (granted.isErr || this.closed) return;
    const { id: lease } = granted.value;
    const written = await this.write({ ...this.holding(lease), expected });
    if (written !== undefined) this.onHeld(lease, written, requestedAt, 'acquired');
  }

  private holding(lease: string): Pick<KeyWrite, 'holder' | 'lease'> {
    return { holder: this.options.node, lease };
  }

  /** @returns revision of the write; undefined when it failed or its outcome is unknown */
  private async write({ holder, lease, expected }: KeyWrite): Promise<number | undefined> {
    const { key } = this;
    const value = Buffer.from(holder);
    const result = await this.options.store.transact({
      conditions: [{ key, revision: expected }],
      puts: [lease === undefined ? { key, value } : { key, value, lease }],
    });
    return result.isOk && result.value.type === 'committed' ? result.value.revision : undefined;
  }

  private onHeld(lease: string, revision: number, requestedAt: number, by: Acquisition): void {
    if (this.closed) return;
    const { group, node, log, onAcquired } = this.options;
    // The same lease without a gap: no other node has counted in the meantime.
    const isSame = lease === this.lease;
    this.lease = lease;
    this.revision = revision;
    this.confirmedAt = requestedAt;
    this.knownHolder = node;
    if (!isSame) {
      log.emit(Event.QuotaCountingBegun, { group, by, lease, revision });
      onAcquired();
    }
    this.scheduleRenewal();
  }

  private scheduleRenewal(): void {
    this.cancelRenewal();
    this.cancelRenewal = this.options.clock.schedule(RENEW_INTERVAL_MS, () => {
      void this.renew();
    });
  }

  private async renew(): Promise<void> {
    const { lease } = this;
    if (this.closed || lease === undefined) return;
    const requestedAt = this.options.clock.bootNow();
    const renewed = await this.options.store.renewLease(lease);
    if (lease !== this.lease) return;
    if (renewed.isOk && !renewed.value) {
      this.lose('the lease has expired');
      return;
    }
    if (renewed.isOk) this.confirmedAt = requestedAt;
    this.scheduleRenewal();
    this.renewals += 1;
    if (this.renewals % RENEWALS_PER_CHECK === 0) await this.checkKey();
  }

  /** Stops counting if the key was changed: the lease alone says nothing about the key. */
  private async checkKey(): Promise<void> {
    const { store } = this.options;
    const { lease, revision } = this;
    const stale = await store.read(this.key, { mayBeStale: true });
    if (stale.isErr || stale.value?.revision === revision) return;
    const current = await store.read(this.key);
    if (current.isErr || current.value?.revision === revision) return;
    if (lease === this.lease && revision === this.revision) {
      this.lose('another writer has changed the key');
    }
  }

  private lose(detail: string): void {
    if (this.lease === undefined) return;
    this.lease = undefined;
    this.knownHolder = undefined;
    this.cancelRenewal();
    this.options.log.emit(Event.QuotaCountingEnded, { group: this.options.group, detail });
  }
}

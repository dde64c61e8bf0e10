/**
 * Writes this node's record into the store, under a lease, and only if the stored record has the revision
 * that was last seen. A record that an earlier process left is kept if its content is right; a write of that
 * process that is applied late can still replace it, so replaced records are written again.
 */
import { Event, type EventLog } from '../../kernel/event.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import type { MetadataStore, StoreFailure, StoreItem } from '../../store/metadata-store.js';
import type { Random } from '../../core/random.js';
import type { StoreEras } from '../../store/store-eras.js';
import { decodeNodeRecord, encodeNodeRecord, keyOfNode, type NodeRecord } from './node-record.js';

/** TTL of the lease, in milliseconds; the record of a node that has failed expires after it. */
const LEASE_TTL_MS = 60_000;
const RENEW_INTERVAL_MS = 20_000;
const FIRST_RETRY_PAUSE_MS = 100;
const MAX_RETRY_PAUSE_MS = 1_000;
/**
 * Longest delay before the record is written again in a new era of the store, in milliseconds. The random
 * delay spreads the writes of all nodes and leaves 1.5 s of the 2 s in which records have to be rewritten.
 */
const MAX_ERA_REWRITE_DELAY_MS = 500;

export interface RecordPublisherOptions {
  readonly node: string;
  readonly store: MetadataStore;
  readonly eras: StoreEras;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Spreads the writes of the nodes in a new era. */
  readonly random: Random;
}

type Waiter = () => void;

/** Publishes the record of this node and keeps its lease. */
export class RecordPublisher {
  private wanted: NodeRecord | undefined;
  private written: NodeRecord | undefined;
  private revision: number | undefined;
  private lease: string | undefined;
  /** Record that an earlier process left; undefined after the first write. */
  private previous: StoreItem | undefined;
  private running = false;
  private closed = false;
  private cancelRenewal: CancelTimer = () => {};
  private retryPauseMs = FIRST_RETRY_PAUSE_MS;
  private readonly waiters: { readonly record: NodeRecord; readonly done: Waiter }[] = [];

  constructor(private readonly options: RecordPublisherOptions) {
    options.eras.onChange(() => {
      this.onEraChanged();
    });
  }

  /** Sets the record that an earlier process left, as found in the first listing, and decodes it. */
  takePrevious(item: StoreItem | undefined): NodeRecord | undefined {
    this.revision = item?.revision ?? 0;
    this.previous = item;
    return item && decodeNodeRecord(item.key, item.value);
  }

  /** Publishes a record; resolves when the store has acknowledged this record or a later one. */
  publish(record: NodeRecord): Promise<void> {
    this.wanted = record;
    return new Promise((done) => {
      this.waiters.push({ record, done });
      void this.run();
    });
  }

  /** Reads the stored record and writes it again if it is missing or different. */
  writeAgain(): void {
    if (this.wanted === undefined) return;
    // The stored revision is not known: the next write reads it first.
    this.revision = undefined;
    this.written = undefined;
    void this.run();
  }

  /**
   * Called with items that the store reports. A record of this node with a later revision than its own writes,
   * and other content, was written by an earlier process or by another writer, and is written again.
   */
  noteStored(items: readonly StoreItem[]): void {
    const { written, running, revision: known = 0 } = this;
    if (written === undefined || running) return;
    const stored = items.findLast(({ key }) => key === keyOfNode(this.options.node));
    if (stored === undefined || stored.revision <= known) return;
    if (stored.value.equals(this.encode(written))) return;
    this.options.log.emit(Event.OwnRecordReplaced, { revision: stored.revision, known });
    this.writeAgain();
  }

  /** Whether a record was written in another era: the store may have lost a newer one. */
  isFromOtherEra({ storeEra }: NodeRecord): boolean {
    return storeEra !== this.options.eras.current;
  }

  /** Starts renewing the lease. */
  start(): void {
    this.cancelRenewal = this.options.clock.schedule(RENEW_INTERVAL_MS, () => {
      void this.renew();
    });
  }

  /** Stops writing and renewing. */
  close(): void {
    this.closed = true;
    this.cancelRenewal();
  }

  /**
   * In a new era the revision may denote another record, and the lease may belong to another node. The record
   * is written again even if the store still holds it, since newer records may have been lost.
   */
  private onEraChanged(): void {
    this.revision = undefined;
    this.lease = undefined;
    this.previous = undefined;
    this.written = undefined;
    this.options.clock.schedule(MAX_ERA_REWRITE_DELAY_MS * this.options.random.next(), () => {
      void this.run();
    });
  }

  private async run(): Promise<void> {
    if (this.running) return;
    this.running = true;
    while (!this.closed && this.wanted !== this.written) await this.writeOnce();
    this.running = false;
  }

  private async writeOnce(): Promise<void> {
    const record = this.wanted!;
    const { current: era } = this.options.eras;
    const failure = await this.tryWrite(record);
    // The store may have lost a write of an earlier era, or the write used a lease that is now another node's.
    if (era !== undefined && era !== this.options.eras.current) return;
    if (failure === undefined) {
      this.retryPauseMs = FIRST_RETRY_PAUSE_MS;
      this.written = record;
      this.resolveWaiters(record);
      return;
    }
    this.report(failure);
    await this.pauseBeforeRetry();
  }

  /** Resolves the promises for this record and for those before it; newer ones are not stored yet. */
  private resolveWaiters(record: NodeRecord): void {
    const last = this.waiters.findLastIndex((waiter) => waiter.record === record);
    for (const { done } of this.waiters.splice(0, last + 1)) done();
  }

  /** Keeps a stored record with equal content and its lease: a write would cost every other node a call. */
  private async adoptPrevious(record: NodeRecord): Promise<boolean> {
    const { previous } = this;
    this.previous = undefined;
    if (previous?.lease === undefined) return false;
    if (!previous.value.equals(this.encode(record))) return false;
    const renewed = await this.options.store.renewLease(previous.lease);
    if (renewed.isErr || !renewed.value) return false;
    this.lease = previous.lease;
    return true;
  }

  private async tryWrite(record: NodeRecord): Promise<StoreFailure | undefined> {
    const { store } = this.options;
    if (await this.adoptPrevious(record)) return undefined;
    const key = keyOfNode(this.options.node);
    if (this.revision === undefined) {
      // The outcome of the last write is unknown: read the revision for the condition again.
      const item = await store.read(key);
      if (item.isErr) return item.error;
      this.revision = item.value?.revision ?? 0;
      if (item.value?.value.equals(this.encode(record))) return undefined;
    }
    if (this.lease === undefined) {
      const lease = await store.grantLease(LEASE_TTL_MS);
      if (lease.isErr) return lease.error;
      this.lease = lease.value.id;
    }
    const { revision, lease } = this;
    this.revision = undefined;
    const result = await store.transact({
      conditions: [{ key, revision }],
      puts: [{ key, value: this.encode(record), lease }],
    });
    if (result.isErr) return result.error;
    if (result.value.type === 'lease-lost') this.lease = undefined;
    if (result.value.type !== 'committed') return { cause: 'refused', detail: result.value.type };
    this.revision = result.value.revision;
    return undefined;
  }

  private encode(record: NodeRecord): Buffer {
    const { current: storeEra } = this.options.eras;
    return encodeNodeRecord(storeEra === undefined ? record : { ...record, storeEra });
  }

  private async renew(): Promise<void> {
    if (this.closed) return;
    const { lease } = this;
    if (lease !== undefined) {
      const renewed = await this.options.store.renewLease(lease);
      if (renewed.isOk && !renewed.value && lease === this.lease) {
        this.lease = undefined;
        this.writeAgain();
      }
    }
    if (!this.closed) this.start();
  }

  private report({ cause, detail }: StoreFailure): void {
    this.options.log.emit(Event.PlatformUnavailable, { operation: 'record', cause, detail });
  }

  private pauseBeforeRetry(): Promise<void> {
    const pauseMs = this.retryPauseMs;
    this.retryPauseMs = Math.min(MAX_RETRY_PAUSE_MS, pauseMs * 2);
    return new Promise((resolve) => {
      this.options.clock.schedule(pauseMs, resolve);
    });
  }
}

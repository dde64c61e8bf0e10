/**
 * Writes this node's record into the store, under a lease and under the condition that the record
 * is the one that was last seen, so that a write of an earlier process that arrives late loses.
 */
import { Event, type EventLog } from '../../kernel/event.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import type { MetadataStore, StoreFailure, StoreItem } from '../../store/metadata-store.js';
import type { Random } from '../../core/random.js';
import type { StoreEras } from '../../store/store-eras.js';
import { decodeNodeRecord, encodeNodeRecord, keyOfNode, type NodeRecord } from './node-record.js';

/** Life of the lease; a node that is gone for good disappears from the store after it. */
const LEASE_TTL_MS = 60_000;
const RENEW_INTERVAL_MS = 20_000;
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1_000;
/**
 * Longest pause before the record is written again in a new era of the store, in milliseconds: spreads the
 * writes of all nodes, and leaves a second and a half of the two in which records have to be back.
 */
const MAX_ERA_PAUSE_MS = 500;

/** What the publisher works with. */
export interface RecordPublisherOptions {
  readonly node: string;
  readonly store: MetadataStore;
  readonly eras: StoreEras;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Spreads the writes of nodes. */
  readonly random: Random;
}

type Waiter = () => void;

/** See the module comment. */
export class RecordPublisher {
  private wanted: NodeRecord | undefined;
  private written: NodeRecord | undefined;
  private revision: number | undefined;
  private lease: string | undefined;
  /** What an earlier process left, until the first write. */
  private previous: StoreItem | undefined;
  private running = false;
  private closed = false;
  private cancelRenewal: CancelTimer = () => {};
  private pauseMs = FIRST_PAUSE_MS;
  private readonly waiters: { readonly record: NodeRecord; readonly done: Waiter }[] = [];

  constructor(private readonly options: RecordPublisherOptions) {
    options.eras.onChange(() => {
      this.onEraChanged();
    });
  }

  /** Takes in the record that an earlier process left, as the first listing held it. */
  takePrevious(item: StoreItem | undefined): NodeRecord | undefined {
    this.revision = item?.revision ?? 0;
    this.previous = item;
    return item && decodeNodeRecord(item.key, item.value);
  }

  /** Publishes; resolves when the store has acknowledged this record or a later one. */
  publish(record: NodeRecord): Promise<void> {
    this.wanted = record;
    return new Promise((done) => {
      this.waiters.push({ record, done });
      void this.run();
    });
  }

  /** The store may hold no record any more: reads it, and writes it again when that is so. */
  writeAgain(): void {
    if (this.wanted === undefined) return;
    // What the store holds is not known, so that the next write reads first.
    this.revision = undefined;
    this.written = undefined;
    void this.run();
  }

  /** Whether a newer record than one of an earlier process may have been forgotten by the store. */
  isForgettable({ storeEra }: NodeRecord): boolean {
    return storeEra !== this.options.eras.current;
  }

  /** Starts to renew the lease. */
  start(): void {
    this.cancelRenewal = this.options.clock.schedule(RENEW_INTERVAL_MS, () => {
      void this.renew();
    });
  }

  /** Ends all attempts. */
  close(): void {
    this.closed = true;
    this.cancelRenewal();
  }

  /**
   * The revision may stand for another record now, and the lease may have been given to another node. A
   * record that the store still holds is written again too, since what follows it is not known to be there.
   */
  private onEraChanged(): void {
    this.revision = undefined;
    this.lease = undefined;
    this.previous = undefined;
    this.written = undefined;
    this.options.clock.schedule(MAX_ERA_PAUSE_MS * this.options.random.next(), () => {
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
    // What was done in an earlier era has been forgotten, or was done with another's lease.
    if (era !== undefined && era !== this.options.eras.current) return;
    if (failure === undefined) {
      this.pauseMs = FIRST_PAUSE_MS;
      this.written = record;
      this.release(record);
      return;
    }
    this.report(failure);
    await this.pause();
  }

  /** Ends the waits for this record and for those before it; newer ones are not stored yet. */
  private release(record: NodeRecord): void {
    const last = this.waiters.findLastIndex((waiter) => waiter.record === record);
    for (const { done } of this.waiters.splice(0, last + 1)) done();
  }

  /**
   * A record that already says the same is kept with its lease: a write would cost every other
   * node a call.
   */
  private async adoptPrevious(record: NodeRecord): Promise<boolean> {
    const { previous } = this;
    this.previous = undefined;
    if (previous?.lease === undefined) return false;
    if (!previous.value.equals(this.encode(record))) return false;
    const kept = await this.options.store.keepLease(previous.lease);
    if (kept.isErr || !kept.value) return false;
    this.lease = previous.lease;
    return true;
  }

  private async tryWrite(record: NodeRecord): Promise<StoreFailure | undefined> {
    const { store } = this.options;
    if (await this.adoptPrevious(record)) return undefined;
    const key = keyOfNode(this.options.node);
    if (this.revision === undefined) {
      // What became of the last write is not known: the next condition needs a fresh reading.
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
      const kept = await this.options.store.keepLease(lease);
      if (kept.isOk && !kept.value && lease === this.lease) {
        this.lease = undefined;
        this.writeAgain();
      }
    }
    if (!this.closed) this.start();
  }

  private report({ cause, detail }: StoreFailure): void {
    this.options.log.emit(Event.PlatformUnavailable, { operation: 'record', cause, detail });
  }

  private pause(): Promise<void> {
    const pauseMs = this.pauseMs;
    this.pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    return new Promise((resolve) => {
      this.options.clock.schedule(pauseMs, resolve);
    });
  }
}

/**
 * Port of the metadata store: a linearizable key-value service with conditional writes, leases
 * and watches that the platform runs. Adapters implement it; nothing here knows their formats.
 *
 * All operations resolve; what went wrong is a {@link StoreFailure} with one of three causes:
 * `refused` (nothing was done), `unknown` (no answer: a write may have been done, or may be done
 * later while its condition holds) or `malformed` (an answer that could not be read).
 */
import type { Result } from 'true-myth';

/** One key with its value. */
export interface StoreItem {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of the last change of the key; revisions rise over the whole store. */
  readonly revision: number;
  /** Lease that the key ends with; absent: none. */
  readonly lease?: string;
}

/** A change of one key, as a watch reports it. */
export type StoreEvent =
  | ({ readonly type: 'put' } & StoreItem)
  | { readonly type: 'removed'; readonly key: string; readonly revision: number };

/** Why an operation gave no result. */
export interface StoreFailure {
  readonly cause: 'refused' | 'unknown' | 'malformed';
  readonly detail: string;
}

/** All items of a prefix, and the store's revision when the first of them was read. */
export interface StoreListing {
  readonly items: readonly StoreItem[];
  readonly at: number;
}

/** What a watch saw: changes after a revision, or that this part of the history is gone. */
export type WatchResult =
  | { readonly type: 'events'; readonly events: readonly StoreEvent[]; readonly at: number }
  | { readonly type: 'compacted' };

/** A key that must still have this revision; 0: the key must not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: number;
}

/** One write. */
export interface StorePut {
  readonly key: string;
  readonly value: Buffer;
  /** Lease that the key ends with; absent: none. */
  readonly lease?: string;
}

/** Writes that happen all or not at all. */
export interface StoreTransaction {
  readonly conditions: readonly StoreCondition[];
  readonly puts: readonly StorePut[];
}

/** How a transaction ended. */
export type TransactionResult =
  | { readonly type: 'committed'; readonly revision: number }
  /** A condition did not hold; nothing was written. */
  | { readonly type: 'conflict' }
  /** The lease is over; nothing was written. */
  | { readonly type: 'lease-lost' };

/** A lease as granted. */
export interface StoreLease {
  readonly id: string;
  readonly ttlMs: number;
}

/**
 * Hears of the era of each answer: a number that rises by one each time the store comes back from an older
 * copy of itself.
 */
export interface StoreEraSink {
  /**
   * @param era number that an answer bears; undefined: none
   * @returns whether the answer counts; one that does not is a failure with cause `unknown`
   */
  accept(era: number | undefined): boolean;
}

/** The store as the product uses it. */
export interface MetadataStore {
  /** Reads one key; linearizable. */
  read(key: string): Promise<Result<StoreItem | undefined, StoreFailure>>;
  /** Reads all keys of a prefix, page by page; linearizable, not a snapshot. */
  list(prefix: string): Promise<Result<StoreListing, StoreFailure>>;
  /**
   * Waits for changes of a prefix.
   *
   * @param after revision after which changes are wanted
   * @param waitMs longest wait; then the result has no events
   */
  watch(prefix: string, after: number, waitMs: number): Promise<Result<WatchResult, StoreFailure>>;
  /** Writes under conditions. */
  transact(transaction: StoreTransaction): Promise<Result<TransactionResult, StoreFailure>>;
  /** Asks for a lease. */
  grantLease(ttlMs: number): Promise<Result<StoreLease, StoreFailure>>;
  /** Renews a lease; false when it is over. */
  keepLease(id: string): Promise<Result<boolean, StoreFailure>>;
  /** Ends all open operations. */
  close(): void;
}

/**
 * Interface to the platform's metadata store: a linearizable key-value service with conditional
 * writes, leases and watches. Adapters implement it; nothing here depends on their formats.
 *
 * No operation rejects. Errors are returned as a {@link StoreFailure} with one of these causes:
 * `refused` (nothing was done), `unknown` (no answer: a write may have been applied, or may still be
 * applied while its condition holds), `malformed` (the answer could not be read) or `interrupted` (this node
 * ended a wait for changes).
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Result } from 'true-myth';

/** One key with its value. */
export interface StoreItem {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of the last change of the key; revisions increase across the whole store. */
  readonly revision: number;
  /** Lease with which the key expires; absent: none. */
  readonly lease?: string;
}

/** A change of one key, as a watch reports it. */
export type StoreEvent =
  | ({ readonly type: 'put' } & StoreItem)
  | { readonly type: 'removed'; readonly key: string; readonly revision: number };

/** Why an operation failed. */
export interface StoreFailure {
  readonly cause: 'refused' | 'unknown' | 'malformed' | 'interrupted';
  readonly detail: string;
  /** Time from the call to the failure, in milliseconds; absent: the store answered. */
  readonly waitedMs?: number;
  /** Connection of a call without an answer; absent: the store answered. */
  readonly connection?: StoreConnectionKind;
}

/** Whether a connection had carried a call before. */
export type StoreConnectionKind = 'new' | 'reused';

/** Bound on what one listing may hold. */
export interface ListingLimit {
  readonly maxBytes: number;
  /** Called when a listing is given up because it is longer. */
  onTooLong(): void;
}

/** All items of a prefix, and the store's revision when the first of them was read. */
export interface StoreListing {
  readonly items: readonly StoreItem[];
  readonly at: number;
}

/** Result of a watch: the changes after a revision, or that the store no longer has that history. */
export type WatchResult =
  | { readonly type: 'events'; readonly events: readonly StoreEvent[]; readonly at: number }
  | { readonly type: 'compacted' }
  /** This node ended the wait, since its connection may have gone silent; there may be changes. */
  | { readonly type: 'interrupted' };

/** A key that must still have this revision; 0: the key must not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: number;
}

/** How one key is read. */
export interface ReadOptions {
  /** Whether the answer may be some seconds old; such a read is cheaper for the store. */
  readonly mayBeStale?: boolean;
}

/** One write. */
export interface StorePut {
  readonly key: string;
  readonly value: Buffer;
  /** Lease with which the key expires; absent: none. */
  readonly lease?: string;
}

/** Writes that are applied all together or not at all. */
export interface StoreTransaction {
  readonly conditions: readonly StoreCondition[];
  readonly puts: readonly StorePut[];
}

/** How a transaction ended. */
export type TransactionResult =
  | { readonly type: 'committed'; readonly revision: number }
  /** A condition did not hold; nothing was written. */
  | { readonly type: 'conflict' }
  /** The lease has ended; nothing was written. */
  | { readonly type: 'lease-lost' };

/** A lease as granted. */
export interface StoreLease {
  readonly id: string;
  readonly ttlMs: number;
}

/**
 * Receives the era of each answer: a number that increases by one each time the store is restored from
 * an older copy of its data.
 */
export interface StoreEraSink {
  /**
   * @param era era of the answer; undefined: the answer has none
   * @returns whether the answer may be used; if not, it is a failure with cause `unknown`
   */
  accept(era: number | undefined): boolean;
}

/** Operations of the metadata store. */
export interface MetadataStore {
  /** Reads one key; linearizable unless the options say otherwise. */
  read(key: string, options?: ReadOptions): Promise<Result<StoreItem | undefined, StoreFailure>>;
  /** Reads all keys of a prefix, page by page; linearizable, not a snapshot. */
  list(prefix: string): Promise<Result<StoreListing, StoreFailure>>;
  /**
   * Waits for changes of a prefix.
   *
   * @param after only changes after this revision are returned
   * @param waitMs longest wait; after it the result has no events
   */
  watch(prefix: string, after: number, waitMs: number): Promise<Result<WatchResult, StoreFailure>>;
  /**
   * Returns the changes of a prefix without waiting, over a connection of its own, which cannot have gone
   * silent before.
   *
   * @param after only changes after this revision are returned
   */
  poll(prefix: string, after: number): Promise<Result<WatchResult, StoreFailure>>;
  /** Closes idle connections and interrupts all waits for changes: their connections may have gone silent. */
  replaceConnections(): void;
  /** Writes if all conditions hold. */
  transact(transaction: StoreTransaction): Promise<Result<TransactionResult, StoreFailure>>;
  /** Requests a lease. */
  grantLease(ttlMs: number): Promise<Result<StoreLease, StoreFailure>>;
  /** Renews a lease; false when it has ended. */
  renewLease(id: string): Promise<Result<boolean, StoreFailure>>;
  /** Ends all pending operations. */
  close(): void;
}

/** A request to the store. */
export interface StoreRequest {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string | number>>;
  readonly body?: Buffer;
  /** Longest wait for the answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether the store may hold the answer back until something changes. */
  readonly isWait?: boolean;
  /** Whether to use a connection of its own, which cannot have gone silent before. */
  readonly onNewConnection?: boolean;
}

/** How a request ended. */
export type StoreExchange =
  | {
      readonly type: 'answer';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  | {
      readonly type: 'failure';
      readonly detail: string;
      readonly waitedMs: number;
      readonly connection: StoreConnectionKind;
    }
  /** A wait was ended by this node, since its connection may have gone silent. */
  | { readonly type: 'interrupted' };

/** Connections to the store. */
export interface StoreTransport {
  /** Sends a request; never rejects. */
  send(request: StoreRequest): Promise<StoreExchange>;
  /** Closes idle connections and interrupts all waits: their connections may have gone silent. */
  replaceAll(): void;
  /** Ends all requests. */
  close(): void;
}

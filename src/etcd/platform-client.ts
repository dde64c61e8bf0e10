/**
 * The platform's services as sillshore uses them: a small key-value service (JSON form of
 * the etcd v3 API: kv/range, kv/txn, lease/grant, lease/keepalive, watch) and the list of
 * machines, which lags. Any answer may be lost after the request had its effect.
 */
import type { Result } from 'true-myth';
import type { Failure } from '../core/failure.js';

/** A stored value with its revisions (etcd terms). */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
}

/** A condition of a transaction: the key's modRevision, 0 when it must not exist. */
export interface Compare {
  readonly key: string;
  readonly modRevision: number;
}

/** A write of a transaction. */
export interface Put {
  readonly key: string;
  readonly value: string;
}

/** Result of a transaction. */
export interface TransactionResult {
  readonly succeeded: boolean;
  /** The store's revision after the transaction. */
  readonly revision: number;
}

/** Result of a range read. */
export interface RangeResult {
  readonly values: readonly KeyValue[];
  readonly revision: number;
}

/** An entry of the platform's list of machines. */
export interface Machine {
  readonly id: string;
  readonly role: 'node' | 'target';
  readonly state: 'live' | 'leaving';
  /** `host:port`; for nodes the peer address. */
  readonly address: string;
  readonly zone: string;
}

/** Events of a watch. */
export type WatchEvent =
  | { readonly type: 'put'; readonly keyValue: KeyValue }
  | { readonly type: 'lost'; readonly failure: Failure };

/**
 * Client of the platform. Failures: `PlatformUnavailable` (not applied), `PlatformRateLimited`
 * (not applied), `WriteOutcomeUnknown` (a write's answer was lost).
 */
export interface PlatformClient {
  range(prefix: string): Promise<Result<RangeResult, Failure>>;
  transact(
    compares: readonly Compare[],
    puts: readonly Put[],
  ): Promise<Result<TransactionResult, Failure>>;
  /** Watches a prefix from a revision on, until `lost`; returns the function that stops it. */
  watch(prefix: string, fromRevision: number, listener: (event: WatchEvent) => void): () => void;
  machines(): Promise<Result<readonly Machine[], Failure>>;
  /** Whether the last exchange with the key-value service succeeded. */
  readonly available: boolean;
}

/**
 * An in-memory key-value store with revisions, transactions, leases and history: the part
 * of etcd v3 that sillshore uses. Keys are byte strings (latin1), values are base64 strings.
 */

/** A stored value with its revisions. */
export interface StoredValue {
  readonly key: string;
  /** Base64; the store never decodes it. */
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  /** 0 when the value has no lease. */
  readonly lease: number;
}

/** One change of one key. */
export interface StoreEvent {
  readonly type: 'put' | 'delete';
  readonly keyValue: StoredValue;
}

/** Keys from `key` to `end`, exclusive; only `key` if `end` is absent. */
export interface KeyRange {
  readonly key: string;
  readonly end?: string;
}

/** A condition of a transaction: the key's target number must equal `value` (0: no such key). */
export interface StoreCompare {
  readonly key: string;
  readonly target: 'MOD' | 'CREATE' | 'VERSION';
  readonly value: number;
}

/** An operation of a transaction. */
export type StoreOperation =
  | { readonly type: 'put'; readonly key: string; readonly value: string; readonly lease: number }
  | { readonly type: 'delete'; readonly range: KeyRange }
  | { readonly type: 'range'; readonly range: KeyRange; readonly limit: number };

/** Result of one operation. */
export type OperationResult =
  | { readonly type: 'put' }
  | { readonly type: 'delete'; readonly deleted: number }
  | { readonly type: 'range'; readonly values: readonly StoredValue[]; readonly count: number };

/** Result of a transaction. */
export interface StoreTransaction {
  readonly succeeded: boolean;
  readonly results: readonly OperationResult[];
}

interface Lease {
  readonly ttlSeconds: number;
  expiresAt: number;
}

/** The store; `now` is a monotonic time in milliseconds. */
export class KeyValueStore {
  /** Revision of the newest change; an empty store starts at 1, as etcd does. */
  revision = 1;
  /** Changes up to this revision have been dropped from the history. */
  compactedRevision = 0;
  private readonly values = new Map<string, StoredValue>();
  private readonly leases = new Map<number, Lease>();
  private readonly listeners = new Set<(events: readonly StoreEvent[]) => void>();
  private history: StoreEvent[] = [];
  private lastLease = 0;

  range(range: KeyRange, limit = 0): { values: StoredValue[]; count: number } {
    const found = [...this.values.values()].filter(({ key }) => isInRange(key, range));
    found.sort((a, b) => (a.key < b.key ? -1 : 1));
    return { values: limit > 0 ? found.slice(0, limit) : found, count: found.length };
  }

  /** Runs the success operations if all compares hold, else the failure ones, as one revision. */
  transact(
    compares: readonly StoreCompare[],
    success: readonly StoreOperation[],
    failure: readonly StoreOperation[],
  ): StoreTransaction {
    const succeeded = compares.every((compare) => this.holds(compare));
    const next = this.revision + 1;
    const events: StoreEvent[] = [];
    const operations = succeeded ? success : failure;
    const results = operations.map((operation) => this.run(operation, next, events));
    this.commit(next, events);
    return { succeeded, results };
  }

  /** Returns the events from `fromRevision` on, oldest first. */
  eventsSince(fromRevision: number): readonly StoreEvent[] {
    return this.history.filter(({ keyValue }) => keyValue.modRevision >= fromRevision);
  }

  /** Drops the history up to `revision`; current values stay. */
  compact(revision: number): void {
    this.compactedRevision = Math.min(revision, this.revision);
    this.history = [...this.eventsSince(this.compactedRevision + 1)];
  }

  /** Calls `listener` with the events of each revision; returns the unsubscribe function. */
  subscribe(listener: (events: readonly StoreEvent[]) => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Grants a lease; for `wantedId` 0 the store chooses the id. Returns undefined if it exists. */
  grantLease(now: number, ttlSeconds: number, wantedId = 0): number | undefined {
    const id = wantedId === 0 ? this.lastLease + 1 : wantedId;
    if (this.leases.has(id)) return undefined;
    this.lastLease = Math.max(this.lastLease, id);
    this.leases.set(id, { ttlSeconds, expiresAt: now + ttlSeconds * 1000 });
    return id;
  }

  /** Renews a lease; returns its time to live in seconds, or 0 if it has expired. */
  keepLeaseAlive(now: number, id: number): number {
    this.expireLeases(now);
    const lease = this.leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAt = now + lease.ttlSeconds * 1000;
    return lease.ttlSeconds;
  }

  /** Ends a lease and deletes its keys; returns whether it existed. */
  revokeLease(id: number): boolean {
    if (!this.leases.delete(id)) return false;
    const next = this.revision + 1;
    const events: StoreEvent[] = [];
    for (const { key, lease } of [...this.values.values()]) {
      if (lease === id) this.remove(key, next, events);
    }
    this.commit(next, events);
    return true;
  }

  hasLease(id: number): boolean {
    return this.leases.has(id);
  }

  /** Revokes every lease whose time has passed. */
  expireLeases(now: number): void {
    for (const [id, lease] of [...this.leases]) {
      if (lease.expiresAt <= now) this.revokeLease(id);
    }
  }

  private holds(compare: StoreCompare): boolean {
    const found = this.values.get(compare.key);
    if (compare.target === 'MOD') return (found?.modRevision ?? 0) === compare.value;
    if (compare.target === 'CREATE') return (found?.createRevision ?? 0) === compare.value;
    return (found?.version ?? 0) === compare.value;
  }

  private run(operation: StoreOperation, next: number, events: StoreEvent[]): OperationResult {
    if (operation.type === 'range') {
      return { type: 'range', ...this.range(operation.range, operation.limit) };
    }
    if (operation.type === 'put') {
      this.put(operation.key, operation.value, operation.lease, next, events);
      return { type: 'put' };
    }
    const { values } = this.range(operation.range);
    for (const { key } of values) this.remove(key, next, events);
    return { type: 'delete', deleted: values.length };
  }

  private put(key: string, value: string, lease: number, next: number, events: StoreEvent[]): void {
    const before = this.values.get(key);
    const keyValue: StoredValue = {
      key,
      value,
      createRevision: before?.createRevision ?? next,
      modRevision: next,
      version: (before?.version ?? 0) + 1,
      lease,
    };
    this.values.set(key, keyValue);
    events.push({ type: 'put', keyValue });
  }

  private remove(key: string, next: number, events: StoreEvent[]): void {
    if (!this.values.delete(key)) return;
    const tombstone = {
      key,
      value: '',
      createRevision: 0,
      modRevision: next,
      version: 0,
      lease: 0,
    };
    events.push({ type: 'delete', keyValue: tombstone });
  }

  private commit(next: number, events: readonly StoreEvent[]): void {
    if (events.length === 0) return;
    this.revision = next;
    this.history.push(...events);
    for (const listener of [...this.listeners]) listener(events);
  }
}

/** Whether a key is in a range; the end "\0" means an unbounded range, as in etcd. */
export function isInRange(key: string, { key: start, end }: KeyRange): boolean {
  if (end === undefined || end === '') return key === start;
  return key >= start && (end === '\0' || key < end);
}

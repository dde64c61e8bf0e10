/** Counts the root requests that an entry node receives, whether it admits them or not. */

/** What the requests of one counter have in common. */
export interface DemandKey {
  /** Rank of the class, 0 to 3. */
  readonly rank: number;
  readonly kind: string;
  /** Service that runs the root request. */
  readonly service: string;
  /** Empty: none. */
  readonly tenant: string;
}

/** Requests of one key in the window. */
export interface MeasuredDemand extends DemandKey {
  readonly perSecond: number;
}

const BUCKET_MS = 100;
/** Buckets of the window, the current one included. */
const BUCKETS = 5;
const MS_PER_SECOND = 1_000;
/** Keys that are counted by tenant; the requests of further keys are counted without their tenant. */
const MAX_KEYS = 1_024;

interface Counter {
  readonly key: DemandKey;
  /** Requests by bucket number modulo {@link BUCKETS}. */
  readonly counts: Uint32Array;
  /** Bucket that the last request was counted in. */
  last: number;
}

/** Requests a second by class, kind, first service and tenant, over a window of 500 ms. */
export class DemandMeter {
  private readonly counters = new Map<string, Counter>();
  private startedAt: number | undefined;

  /** Counts one request. */
  note(now: number, key: DemandKey): void {
    this.startedAt ??= now;
    const bucket = Math.floor(now / BUCKET_MS);
    const counter = this.counterOf(key);
    clearBetween(counter, bucket);
    counter.counts[bucket % BUCKETS]! += 1;
  }

  /** Demand of every key with requests in the window. Drops the others. */
  measure(now: number): readonly MeasuredDemand[] {
    const bucket = Math.floor(now / BUCKET_MS);
    const windowStart = (bucket - BUCKETS + 1) * BUCKET_MS;
    // At least one bucket: the first requests would count as a high rate.
    const elapsedMs = Math.max(BUCKET_MS, now - Math.max(windowStart, this.startedAt ?? now));
    const measured: MeasuredDemand[] = [];
    for (const [text, counter] of this.counters) {
      clearBetween(counter, bucket);
      const total = counter.counts.reduce((sum, count) => sum + count, 0);
      if (total === 0) this.counters.delete(text);
      else measured.push({ ...counter.key, perSecond: (total * MS_PER_SECOND) / elapsedMs });
    }
    return measured;
  }

  private counterOf(key: DemandKey): Counter {
    const text = textOf(key);
    const known = this.counters.get(text);
    if (known !== undefined) return known;
    if (this.counters.size >= MAX_KEYS && key.tenant !== '') {
      return this.counterOf({ ...key, tenant: '' });
    }
    const counter = { key, counts: new Uint32Array(BUCKETS), last: 0 };
    this.counters.set(text, counter);
    return counter;
  }
}

function textOf({ rank, kind, service, tenant }: DemandKey): string {
  return `${rank}\n${kind}\n${service}\n${tenant}`;
}

/** Empties the buckets since the last request that the ring has reached again. */
function clearBetween(counter: Counter, bucket: number): void {
  if (bucket - counter.last >= BUCKETS) {
    counter.counts.fill(0);
  } else {
    for (let passed = counter.last + 1; passed <= bucket; passed += 1) {
      counter.counts[passed % BUCKETS] = 0;
    }
  }
  counter.last = Math.max(counter.last, bucket);
}

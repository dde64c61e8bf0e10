/** Tests the lease of a counting node, with a store in memory and a manual clock. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { Result } from 'true-myth';
import { ManualClock } from '../../kernel/clock.js';
import { silentEventLog } from '../../kernel/event.js';
import type { MetadataStore, StoreItem, StoreTransaction } from '../../store/metadata-store.js';
import { QuotaLease } from './quota-lease.js';

const KEY = 'sillshore/quota/2';
const UNAVAILABLE = { cause: 'unknown', detail: 'unavailable' } as const;

/** A store with one key, whose leases expire when the test expires them. */
class OneKeyStore implements Partial<MetadataStore> {
  item: StoreItem | undefined;
  isUnavailable = false;
  /** Whether writes get no answer and are done by {@link doLateWrites}. */
  isLate = false;
  writes = 0;
  private readonly lateWrites: StoreTransaction[] = [];
  private revision = 0;
  private lastLease = 0;
  private readonly leases = new Set<string>();

  read(): ReturnType<MetadataStore['read']> {
    return Promise.resolve(this.isUnavailable ? Result.err(UNAVAILABLE) : Result.ok(this.item));
  }

  grantLease(ttlMs: number): ReturnType<MetadataStore['grantLease']> {
    if (this.isUnavailable) return Promise.resolve(Result.err(UNAVAILABLE));
    this.lastLease += 1;
    const id = String(this.lastLease);
    this.leases.add(id);
    return Promise.resolve(Result.ok({ id, ttlMs }));
  }

  renewLease(id: string): ReturnType<MetadataStore['renewLease']> {
    return Promise.resolve(
      this.isUnavailable ? Result.err(UNAVAILABLE) : Result.ok(this.leases.has(id)),
    );
  }

  transact(transaction: StoreTransaction): ReturnType<MetadataStore['transact']> {
    if (this.isUnavailable) return Promise.resolve(Result.err(UNAVAILABLE));
    this.writes += 1;
    if (!this.isLate) return this.apply(transaction);
    this.lateWrites.push(transaction);
    return Promise.resolve(Result.err(UNAVAILABLE));
  }

  async doLateWrites(): Promise<void> {
    for (const transaction of this.lateWrites.splice(0)) await this.apply(transaction);
  }

  private apply({ conditions, puts }: StoreTransaction): ReturnType<MetadataStore['transact']> {
    if (conditions[0]!.revision !== (this.item?.revision ?? 0)) {
      return Promise.resolve(Result.ok({ type: 'conflict' }));
    }
    this.revision += 1;
    this.item = { ...puts[0]!, revision: this.revision };
    return Promise.resolve(Result.ok({ type: 'committed', revision: this.revision }));
  }

  expireLeases(): void {
    this.leases.clear();
    this.item = undefined;
  }
}

let clock: ManualClock;
let store: OneKeyStore;
let acquisitions: number;

beforeEach(() => {
  clock = new ManualClock();
  store = new OneKeyStore();
  acquisitions = 0;
});

function createLease(node: string): QuotaLease {
  return new QuotaLease({
    group: 2,
    node,
    store: store as unknown as MetadataStore,
    clock,
    log: silentEventLog,
    onAcquired: () => {
      acquisitions += 1;
    },
  });
}

async function pass(milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 100) {
    clock.advance(100);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test('the first node that acquires the key holds it, and others learn its holder', async () => {
  const [first, second] = [createLease('a'), createLease('b')];
  await first.acquire();
  await second.acquire();
  assert.equal(store.item?.key, KEY);
  assert.deepEqual([first.isHeld, second.isHeld], [true, false]);
  assert.equal(second.holder, 'a');
});

test('the holder renews the lease and keeps its counts', async () => {
  const lease = createLease('a');
  await lease.acquire();
  await pass(20_000);
  assert.equal(lease.isHeld, true);
  assert.equal(acquisitions, 1);
});

test('a holder that gets no answer from the store stops by its own clock', async () => {
  const lease = createLease('a');
  await lease.acquire();
  store.isUnavailable = true;
  await pass(3_900);
  assert.equal(lease.isHeld, false);
  store.isUnavailable = false;
  await pass(1_100);
  assert.equal(lease.isHeld, true);
  assert.equal(acquisitions, 1, 'the same lease continued: no other node has counted');
});

test('time for which the machine was suspended counts against the lease', async () => {
  const lease = createLease('a');
  await lease.acquire();
  clock.suspend(4_000);
  assert.equal(lease.isHeld, false);
});

test('a holder whose lease has expired acquires the key again only if it is first', async () => {
  const [first, second] = [createLease('a'), createLease('b')];
  await first.acquire();
  store.expireLeases();
  await pass(1_100);
  assert.equal(first.isHeld, false);
  await second.acquire();
  await first.acquire();
  assert.deepEqual([first.isHeld, second.isHeld], [false, true]);
  assert.equal(acquisitions, 2);
});

test('a restarted node continues its lease and starts counting from zero', async () => {
  await createLease('a').acquire();
  const restarted = createLease('a');
  await restarted.acquire();
  assert.equal(restarted.isHeld, true);
  assert.equal(acquisitions, 2);
});

test('a released key can be acquired at once', async () => {
  const [first, second] = [createLease('a'), createLease('b')];
  await first.acquire();
  await first.close();
  await second.acquire();
  assert.deepEqual([first.isHeld, second.isHeld], [false, true]);
});

test('in a new era of the store only the former holder can acquire the key at once', async () => {
  const [first, second] = [createLease('a'), createLease('b')];
  await first.acquire();
  store.expireLeases();
  // There is a minimum time between attempts.
  await pass(200);
  for (const lease of [first, second]) lease.reset();
  await second.acquire();
  assert.equal(second.isHeld, false, 'the former holder may not know the new era yet');
  await first.acquire();
  assert.equal(first.isHeld, true);
});

test('a release that is done late does not take the key from the next process of its node', async () => {
  const stopped = createLease('a');
  await stopped.acquire();
  store.isLate = true;
  await stopped.close();
  store.isLate = false;
  const [restarted, other] = [createLease('a'), createLease('b')];
  await restarted.acquire();
  assert.equal(restarted.isHeld, true);
  await store.doLateWrites();
  await other.acquire();
  assert.deepEqual([restarted.isHeld, other.isHeld], [true, false]);
});

test('a process does not count while the write with which it continues a lease has no answer', async () => {
  await createLease('a').acquire();
  store.isLate = true;
  const restarted = createLease('a');
  await restarted.acquire();
  assert.equal(restarted.isHeld, false);
  store.isLate = false;
  await pass(200);
  await restarted.acquire();
  assert.equal(restarted.isHeld, true);
  await store.doLateWrites();
  await pass(5_000);
  assert.equal(restarted.isHeld, true, 'the late write no longer meets its condition');
});

test('an acquisition that is done late is continued by its own node and by no other', async () => {
  store.isLate = true;
  const [first, second] = [createLease('a'), createLease('b')];
  await first.acquire();
  store.isLate = false;
  await store.doLateWrites();
  await second.acquire();
  await pass(200);
  await first.acquire();
  assert.deepEqual([first.isHeld, second.isHeld], [true, false]);
});

test('a holder stops counting soon after another writer has changed its key', async () => {
  const [holder, other] = [createLease('a'), createLease('b')];
  await holder.acquire();
  store.item = { ...store.item!, revision: 99, value: Buffer.from('') };
  await pass(3_200);
  assert.equal(holder.isHeld, false);
  await other.acquire();
  assert.equal(other.isHeld, true);
});

test('a lease that continues without a restart is not written again', async () => {
  const lease = createLease('a');
  await lease.acquire();
  store.isUnavailable = true;
  await pass(3_900);
  store.isUnavailable = false;
  await pass(200);
  await lease.acquire();
  await pass(10_000);
  assert.deepEqual([lease.isHeld, store.writes], [true, 1]);
});

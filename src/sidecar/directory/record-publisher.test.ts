/** Tests the publisher with a scripted store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Result } from 'true-myth';
import { ManualClock } from '../../kernel/clock.js';
import { silentEventLog } from '../../kernel/event.js';
import type {
  MetadataStore,
  StoreFailure,
  StoreTransaction,
  TransactionResult,
} from '../../store/metadata-store.js';
import { createRandom } from '../../core/random.js';
import { StoreEras } from '../../store/store-eras.js';
import type { NodeRecord } from './node-record.js';
import { RecordPublisher } from './record-publisher.js';

type TransactionOutcome = Result<TransactionResult, StoreFailure>;

const READY: NodeRecord = {
  node: 'n',
  address: '10.0.0.1:1',
  zone: 'z',
  region: 'r',
  service: 's',
  targetId: 'i-1',
  target: 'ready',
};
const LEAVING: NodeRecord = { ...READY, target: 'leaving' };

/** A store whose writes complete when the test completes them. */
class HeldStore implements MetadataStore {
  readonly writes: {
    readonly target: string;
    readonly storeEra: number | undefined;
    readonly lease: string | undefined;
    readonly end: (result: TransactionOutcome) => void;
  }[] = [];
  private leases = 0;

  read(): ReturnType<MetadataStore['read']> {
    return Promise.resolve(Result.ok(undefined));
  }
  list(): ReturnType<MetadataStore['list']> {
    return assert.fail('not used');
  }
  watch(): ReturnType<MetadataStore['watch']> {
    return assert.fail('not used');
  }
  poll(): ReturnType<MetadataStore['poll']> {
    return assert.fail('not used');
  }
  replaceConnections(): void {
    assert.fail('not used');
  }
  transact({ puts }: StoreTransaction): Promise<TransactionOutcome> {
    const { value, lease } = puts[0]!;
    const { target, storeEra } = JSON.parse(value.toString()) as NodeRecord;
    return new Promise((end) => {
      this.writes.push({ target, storeEra, lease, end });
    });
  }
  grantLease(): ReturnType<MetadataStore['grantLease']> {
    this.leases += 1;
    return Promise.resolve(Result.ok({ id: String(this.leases), ttlMs: 1_000 }));
  }
  renewLease(): ReturnType<MetadataStore['renewLease']> {
    return Promise.resolve(Result.ok(true));
  }
  close(): void {
    // Holds no resources.
  }
}

async function settle(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

function committed(revision: number): TransactionOutcome {
  return Result.ok({ type: 'committed', revision });
}

interface Created {
  readonly store: HeldStore;
  readonly eras: StoreEras;
  readonly clock: ManualClock;
  readonly publisher: RecordPublisher;
}

function create(): Created {
  const store = new HeldStore();
  const eras = new StoreEras();
  const clock = new ManualClock();
  const publisher = new RecordPublisher({
    node: 'n',
    store,
    eras,
    clock,
    log: silentEventLog,
    random: createRandom(1),
  });
  return { store, eras, clock, publisher };
}

test('a leaving record counts as stored only when its own write is acknowledged', async () => {
  const { store, publisher } = create();
  void publisher.publish(READY);
  await settle();
  let stored = false;
  void publisher.publish(LEAVING).then(() => {
    stored = true;
  });
  store.writes[0]?.end(committed(5));
  await settle();
  assert.equal(stored, false);
  assert.equal(store.writes[1]?.target, 'leaving');
  store.writes[1].end(committed(6));
  await settle();
  assert.equal(stored, true);
});

test('retries a write without an answer', async () => {
  const { store, clock, publisher } = create();
  let stored = false;
  void publisher.publish(LEAVING).then(() => {
    stored = true;
  });
  await settle();
  store.writes[0]?.end(Result.err({ cause: 'unknown', detail: 'lost' }));
  await settle();
  assert.equal(stored, false);
  clock.advance(1_000);
  await settle();
  store.writes[1]?.end(committed(7));
  await settle();
  assert.equal(stored, true);
});

test('a record that was superseded before its write counts as stored with the newer one', async () => {
  const { store, publisher } = create();
  const done: string[] = [];
  void publisher.publish(READY).then(() => done.push('first'));
  await settle();
  const second = { ...READY };
  void publisher.publish(second).then(() => done.push('second'));
  void publisher.publish(LEAVING).then(() => done.push('third'));
  store.writes[0]?.end(committed(5));
  await settle();
  assert.deepEqual(done, ['first']);
  store.writes[1]?.end(committed(6));
  await settle();
  assert.deepEqual(done, ['first', 'second', 'third']);
});

test('writes the record again under a new lease in a new era of the store', async () => {
  const { store, eras, clock, publisher } = create();
  eras.accept(1);
  void publisher.publish(LEAVING);
  await settle();
  store.writes[0]?.end(committed(5));
  await settle();
  eras.accept(2);
  clock.advance(500);
  await settle();
  assert.deepEqual(
    store.writes.map(({ target, storeEra, lease }) => [target, storeEra, lease]),
    [
      ['leaving', 1, '1'],
      ['leaving', 2, '2'],
    ],
  );
});

test('repeats a write that was answered in a new era, since its lease is of the earlier one', async () => {
  const { store, eras, publisher } = create();
  eras.accept(1);
  let stored = false;
  void publisher.publish(LEAVING).then(() => {
    stored = true;
  });
  await settle();
  eras.accept(2);
  store.writes[0]?.end(committed(5));
  await settle();
  assert.equal(stored, false);
  assert.equal(store.writes[1]?.lease, '2');
  store.writes[1].end(committed(6));
  await settle();
  assert.equal(stored, true);
});

const KEY = 'sillshore/nodes/n';

/** A publisher that has kept the record of an earlier process without writing it. */
async function adopt(): Promise<Created> {
  const created = create();
  const value = Buffer.from(JSON.stringify(READY));
  created.publisher.takePrevious({ key: KEY, revision: 5, lease: '9', value });
  await created.publisher.publish(READY);
  assert.deepEqual(created.store.writes, []);
  return created;
}

test('a write of an earlier process that is done late does not stay in place of the record', async () => {
  const { store, publisher } = await adopt();
  const late = { key: KEY, revision: 6, value: Buffer.from(JSON.stringify(LEAVING)) };
  publisher.noteStored([late]);
  await settle();
  assert.deepEqual(
    store.writes.map(({ target }) => target),
    ['ready'],
  );
});

test('a reported record that is older than the own one, or equal to it, is not written again', async () => {
  const { store, publisher } = await adopt();
  const older = { key: KEY, revision: 4, value: Buffer.from(JSON.stringify(LEAVING)) };
  const equal = { key: KEY, revision: 6, value: Buffer.from(JSON.stringify(READY)) };
  const other = { key: 'sillshore/nodes/m', revision: 7, value: Buffer.from('{}') };
  publisher.noteStored([older, equal, other]);
  await settle();
  assert.deepEqual(store.writes, []);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KeyValueStore, type StoreCompare } from './key-value-store.js';

const put = (key: string, lease = 0) => ({ type: 'put', key, value: 'eA==', lease }) as const;

test('compares by mod revision, create revision and version', () => {
  const store = new KeyValueStore();
  store.transact([], [put('a')], []);
  store.transact([], [put('a')], []);
  const cases: readonly (readonly [StoreCompare['target'], number, boolean])[] = [
    ['MOD', 3, true],
    ['MOD', 2, false],
    ['CREATE', 2, true],
    ['CREATE', 3, false],
    ['VERSION', 2, true],
    ['VERSION', 1, false],
  ];
  for (const [target, value, expected] of cases) {
    const { succeeded } = store.transact([{ key: 'a', target, value }], [], []);
    assert.equal(succeeded, expected, `${target} ${value}`);
  }
  const absent: StoreCompare = { key: 'b', target: 'MOD', value: 0 };
  assert.equal(store.transact([absent], [put('b')], []).succeeded, true);
  assert.equal(store.transact([absent], [put('b')], []).succeeded, false);
  assert.equal(store.revision, 4);
});

test('the expiry of a lease deletes its keys in one revision', () => {
  const store = new KeyValueStore();
  const lease = store.grantLease(0, 5)!;
  store.transact([], [put('a', lease), put('b', lease), put('c')], []);
  assert.equal(store.keepLeaseAlive(4_000, lease), 5);
  store.expireLeases(8_999);
  assert.equal(store.range({ key: 'a', end: 'd' }).count, 3);
  store.expireLeases(9_000);
  assert.deepEqual(
    store.range({ key: 'a', end: 'd' }).values.map(({ key }) => key),
    ['c'],
  );
  assert.equal(store.keepLeaseAlive(9_001, lease), 0);
  assert.equal(store.eventsSince(3).length, 2);
});

test('the history starts after the compacted revision', () => {
  const store = new KeyValueStore();
  for (const key of ['a', 'b', 'c']) store.transact([], [put(key)], []);
  store.compact(3);
  assert.deepEqual(
    store.eventsSince(0).map(({ keyValue }) => keyValue.key),
    ['c'],
  );
});

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { StoreEras } from './store-eras.js';

let eras: StoreEras;
let changes: [number, number][];

beforeEach(() => {
  eras = new StoreEras();
  changes = [];
  eras.onChange((era, previous) => changes.push([previous, era]));
});

test('the first era is no change', () => {
  assert.ok(eras.accept(4));
  assert.deepEqual([eras.current, changes], [4, []]);
});

test('a newer era is told once', () => {
  for (const era of [4, 4, 5, 5]) assert.ok(eras.accept(era));
  assert.deepEqual([eras.current, changes], [5, [[4, 5]]]);
});

test('an answer of an earlier era does not count and changes nothing', () => {
  eras.accept(5);
  assert.ok(!eras.accept(4));
  assert.deepEqual([eras.current, changes], [5, []]);
});

test('a store that tells no era is taken as it is', () => {
  assert.ok(eras.accept(undefined));
  assert.equal(eras.current, undefined);
});

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

test('the first era is not reported as a change', () => {
  assert.ok(eras.accept(4));
  assert.deepEqual([eras.current, changes], [4, []]);
});

test('a newer era is reported once', () => {
  for (const era of [4, 4, 5, 5]) assert.ok(eras.accept(era));
  assert.deepEqual([eras.current, changes], [5, [[4, 5]]]);
});

test('an answer of an earlier era is rejected and changes nothing', () => {
  eras.accept(5);
  assert.ok(!eras.accept(4));
  assert.deepEqual([eras.current, changes], [5, []]);
});

test('answers of a store that sends no era are accepted', () => {
  assert.ok(eras.accept(undefined));
  assert.equal(eras.current, undefined);
});

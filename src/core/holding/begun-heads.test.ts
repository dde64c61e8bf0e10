import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BegunHeads } from './begun-heads.js';

test('the connection with the longest head is closed when all hold too much', () => {
  const heads = new BegunHeads<string>(10);
  assert.equal(heads.note('short', 64), undefined);
  assert.equal(heads.note('long', 64 * 4), undefined);
  assert.equal(heads.note('other', 64 * 3), 'long');
  heads.delete('long');
  assert.equal(heads.note('other', 64 * 5), undefined);
});

test('a head that is whole holds nothing', () => {
  const heads = new BegunHeads<string>(4);
  assert.equal(heads.note('one', 64 * 2), undefined);
  assert.equal(heads.note('one', 0), undefined);
  assert.equal(heads.of('one'), 0);
  assert.equal(heads.note('other', 64 * 2), undefined);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EntryChooser } from './entry-chooser.js';
import type { ExchangeResult } from './http-exchange.js';

const answer = (connection: string): ExchangeResult => ({
  type: 'answer',
  status: 200,
  headers: { connection },
  body: Buffer.alloc(0),
});

const cases: readonly (readonly [string, ExchangeResult, number])[] = [
  ['an entry that closes the connection is avoided', answer('close'), 1],
  ['an entry that refuses connections is avoided', { type: 'not-sent', error: '' }, 1],
  ['an entry that keeps the connection open is still chosen', answer('keep-alive'), 0],
  ['a timeout does not mark the entry as stopping', { type: 'timeout' }, 0],
];

for (const [name, result, expected] of cases) {
  test(name, () => {
    const chooser = new EntryChooser(['a', 'b', 'c']);
    chooser.note(0, 0, result);
    assert.equal(chooser.choose(1, 0), expected);
    assert.equal(chooser.choose(3_000, 0), 0, 'avoided for a limited time only');
  });
}

test('the entry at the start position is chosen when all are avoided', () => {
  const chooser = new EntryChooser(['a', 'b']);
  for (const index of [0, 1]) chooser.note(0, index, { type: 'not-sent', error: '' });
  assert.equal(chooser.choose(1, 3), 1);
});

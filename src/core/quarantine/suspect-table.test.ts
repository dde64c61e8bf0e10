import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { BARRED_ENDS, SuspectTable, type TargetEnd } from './suspect-table.js';

const HOLD_MS = 5_000;
const BARRED_LIFE_MS = 600_000;

function end(target: string, ...fingerprints: string[]): TargetEnd {
  return { target, ageMs: 0, fingerprints };
}

/** A table in which targets ended under a request. */
function tableWith(fingerprint: string, ends: number): SuspectTable {
  const table = new SuspectTable();
  for (let index = 0; index < ends; index += 1) table.noteEnd(0, end(`t${index}`, fingerprint));
  return table;
}

test('a request is free after one end, held after two, barred after three', () => {
  const types = [0, 1, 2, 3, 4].map((ends) => tableWith('a', ends).check(0, 'a').type);
  assert.deepEqual(types, ['free', 'free', 'held', 'barred', 'barred']);
});

test('other requests are free', () => {
  assert.equal(tableWith('a', BARRED_ENDS).check(0, 'b').type, 'free');
});

test('an end that is heard of again is no second one', () => {
  const table = tableWith('a', 1);
  assert.deepEqual(table.noteEnd(0, end('t0', 'a', 'b')), ['b'], 'news for the other request');
  assert.equal(table.endsOf('a'), 1);
});

test('a held request is tried once after the pause, then held again', () => {
  const table = tableWith('a', 2);
  assert.equal(table.admit(HOLD_MS - 1, 'a').type, 'held');
  assert.equal(table.admit(HOLD_MS, 'a').type, 'free');
  assert.equal(table.admit(HOLD_MS, 'a').type, 'held');
  assert.equal(table.admit(2 * HOLD_MS, 'a').type, 'free');
});

test('a held caller is told when the next trial is due', () => {
  const verdict = tableWith('a', 2).admit(1_000, 'a');
  assert.ok(verdict.type === 'held');
  assert.equal(verdict.retryAfterMs, HOLD_MS - 1_000);
  assert.equal(verdict.ageMs, 1_000);
  assert.deepEqual(verdict.targets, ['t0', 't1']);
});

test('a barred request is not tried while somebody asks for it', () => {
  const table = tableWith('a', BARRED_ENDS);
  for (let now = 0; now < 2 * BARRED_LIFE_MS; now += BARRED_LIFE_MS / 2) {
    table.expire(now);
    assert.equal(table.admit(now, 'a').type, 'barred');
  }
});

test('a barred request that nobody asks for is forgotten', () => {
  const table = tableWith('a', BARRED_ENDS);
  table.expire(BARRED_LIFE_MS + 1);
  assert.equal(table.size, 0);
});

test('a request that was answered is not suspect, however many targets end', () => {
  const table = new SuspectTable();
  table.noteServed('popular');
  for (let index = 0; index < 10; index += 1) table.noteEnd(0, end(`t${index}`, 'popular', 'x'));
  assert.equal(table.check(0, 'popular').type, 'free');
  assert.equal(table.check(0, 'x').type, 'barred');
});

test('an answer clears a request that was suspect', () => {
  const table = tableWith('a', BARRED_ENDS);
  assert.equal(table.noteServed('a'), BARRED_ENDS);
  assert.equal(table.check(0, 'a').type, 'free');
  assert.equal(table.size, 0);
});

test('the number of suspects is bounded, and those with most ends stay', () => {
  const table = tableWith('cause', BARRED_ENDS);
  for (let index = 0; index < 5_000; index += 1) table.noteEnd(0, end(`u${index}`, `r${index}`));
  assert.ok(table.size <= 1_024);
  assert.equal(table.check(0, 'cause').type, 'barred');
});

test('what nodes have seen adds up to the same, in whatever order and how often they hear it', () => {
  const ends = fc.array(
    fc.record({
      target: fc.constantFrom('t0', 't1', 't2', 't3'),
      fingerprints: fc.uniqueArray(fc.constantFrom('a', 'b', 'c')),
    }),
    { maxLength: 12 },
  );
  fc.assert(
    fc.property(ends, fc.integer(), (heard, seed) => {
      const shuffled = [...heard, ...heard].sort(
        (one, other) => (one.target.length + seed) % 3 || other.target.localeCompare(one.target),
      );
      const [first, second, third] = [new SuspectTable(), new SuspectTable(), new SuspectTable()];
      for (const one of heard) first.noteEnd(0, { ...one, ageMs: 0 });
      for (const one of shuffled) second.noteEnd(0, { ...one, ageMs: 0 });
      for (const one of first.ends(0)) third.noteEnd(0, one);
      for (const fingerprint of ['a', 'b', 'c']) {
        const count = first.endsOf(fingerprint);
        assert.equal(second.endsOf(fingerprint), count);
        assert.equal(third.endsOf(fingerprint), count, 'told as a whole');
      }
    }),
    { seed: 1, numRuns: 300 },
  );
});

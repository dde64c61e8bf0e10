import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  BARRED_CRASHES,
  SuspectTable,
  type RequestKey,
  type TargetCrash,
} from './suspect-table.js';

const HOLD_MS = 5_000;
const BARRED_TTL_MS = 600_000;

function key(content: string, caller = 'front'): RequestKey {
  return { content, caller };
}

function crash(target: string, ...contents: string[]): TargetCrash {
  return { target, ageMs: 0, requests: contents.map((content) => key(content)) };
}

/** A table in which targets crashed under a request. */
function tableWith(fingerprint: string, count: number): SuspectTable {
  const table = new SuspectTable();
  for (let index = 0; index < count; index += 1)
    table.noteCrash(0, crash(`t${index}`, fingerprint));
  return table;
}

test('a request is free after one crash, held after two, barred after three', () => {
  const types = [0, 1, 2, 3, 4].map((crashes) => tableWith('a', crashes).check(0, key('a')).type);
  assert.deepEqual(types, ['free', 'free', 'held', 'barred', 'barred']);
});

test('other requests are free', () => {
  assert.equal(tableWith('a', BARRED_CRASHES).check(0, key('b')).type, 'free');
});

test('a crash that is reported again does not count twice', () => {
  const table = tableWith('a', 1);
  assert.deepEqual(
    table.noteCrash(0, crash('t0', 'a', 'b')),
    [key('b')],
    'new for the other request',
  );
  assert.equal(table.countCrashes(key('a')), 1);
});

test('a held request is tried once after the pause, then held again', () => {
  const table = tableWith('a', 2);
  assert.equal(table.admit(HOLD_MS - 1, key('a')).type, 'held');
  assert.equal(table.admit(HOLD_MS, key('a')).type, 'free');
  assert.equal(table.admit(HOLD_MS, key('a')).type, 'held');
  assert.equal(table.admit(2 * HOLD_MS, key('a')).type, 'free');
});

test('a held request gets the time until the next trial', () => {
  const verdict = tableWith('a', 2).admit(1_000, key('a'));
  assert.ok(verdict.type === 'held');
  assert.equal(verdict.retryAfterMs, HOLD_MS - 1_000);
  assert.equal(verdict.ageMs, 1_000);
  assert.deepEqual(verdict.targets, ['t0', 't1']);
});

test('a barred request is not tried while it is still requested', () => {
  const table = tableWith('a', BARRED_CRASHES);
  for (let now = 0; now < 2 * BARRED_TTL_MS; now += BARRED_TTL_MS / 2) {
    table.expire(now);
    assert.equal(table.admit(now, key('a')).type, 'barred');
  }
});

test('a barred request that is no longer requested is discarded', () => {
  const table = tableWith('a', BARRED_CRASHES);
  table.expire(BARRED_TTL_MS + 1);
  assert.equal(table.size, 0);
});

test('a request that was answered is not suspect, however many targets crash', () => {
  const table = new SuspectTable();
  table.noteServed(key('popular'));
  for (let index = 0; index < 10; index += 1)
    table.noteCrash(0, crash(`t${index}`, 'popular', 'x'));
  assert.equal(table.check(0, key('popular')).type, 'free');
  assert.equal(table.check(0, key('x')).type, 'barred');
});

test('an answer clears a request that was suspect', () => {
  const table = tableWith('a', BARRED_CRASHES);
  assert.equal(table.noteServed(key('a')), BARRED_CRASHES);
  assert.equal(table.check(0, key('a')).type, 'free');
  assert.equal(table.size, 0);
});

test('the number of suspects is bounded, and those with most crashes stay', () => {
  const table = tableWith('cause', BARRED_CRASHES);
  for (let index = 0; index < 5_000; index += 1)
    table.noteCrash(0, crash(`u${index}`, `r${index}`));
  assert.ok(table.size <= 1_024);
  assert.equal(table.check(0, key('cause')).type, 'barred');
});

test('reports of crashes merge to the same table, in any order and however often received', () => {
  const crashes = fc.array(
    fc.record({
      target: fc.constantFrom('t0', 't1', 't2', 't3'),
      requests: fc.array(
        fc.record({
          content: fc.constantFrom('a', 'b', 'c'),
          caller: fc.constantFrom('front', 'back'),
        }),
        { maxLength: 4 },
      ),
    }),
    { maxLength: 12 },
  );
  fc.assert(
    fc.property(crashes, fc.integer(), (received, seed) => {
      const shuffled = [...received, ...received].sort(
        (one, other) => (one.target.length + seed) % 3 || other.target.localeCompare(one.target),
      );
      const [first, second, third] = [new SuspectTable(), new SuspectTable(), new SuspectTable()];
      for (const one of received) first.noteCrash(0, { ...one, ageMs: 0 });
      for (const one of shuffled) second.noteCrash(0, { ...one, ageMs: 0 });
      for (const one of first.crashes(0)) third.noteCrash(0, one);
      for (const content of ['a', 'b', 'c']) {
        const count = first.countCrashes(key(content));
        assert.equal(second.countCrashes(key(content)), count);
        assert.equal(third.countCrashes(key(content)), count, 'sent as a whole');
      }
    }),
    { seed: 1, numRuns: 300 },
  );
});

/** A table with one crash per given caller, all under the same content. */
function tableOfCallers(...callers: readonly string[]): SuspectTable {
  const table = new SuspectTable();
  callers.forEach((caller, index) =>
    table.noteCrash(0, { target: `t${index}`, ageMs: 0, requests: [key('a', caller)] }),
  );
  return table;
}

test('requests of one content count together, whoever calls', () => {
  const table = tableOfCallers('front', 'back', 'middle');
  for (const caller of ['front', 'back', 'middle', 'new']) {
    assert.equal(table.check(0, key('a', caller)).type, 'barred');
  }
});

test('when one caller was answered, the crashes under each other caller count separately', () => {
  const table = tableOfCallers('front', 'back', 'back', 'back');
  table.noteServed(key('a', 'front'));
  assert.equal(table.check(0, key('a', 'front')).type, 'free');
  assert.equal(table.check(0, key('a', 'back')).type, 'barred');
  assert.equal(table.check(0, key('a', 'new')).type, 'free');
});

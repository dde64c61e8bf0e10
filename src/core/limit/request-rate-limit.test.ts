import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { MIN_TRIAL_RATE, RequestRateLimit } from './request-rate-limit.js';

const WINDOW_MS = 4_000;
const RUNS = 200;

/** Starts requests whenever the limit allows, at times with random gaps; returns the start times. */
function startAll(limit: RequestRateLimit, gaps: readonly number[]): readonly number[] {
  const starts: number[] = [];
  let now = 0;
  for (const gap of gaps) {
    now += gap;
    while (limit.startableAt(now) <= now) {
      limit.noteStart(now);
      starts.push(now);
    }
  }
  return starts;
}

test('no window holds more than 1.1 times the limit and 2 requests, and nine tenths are used', () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0.5, max: 200, noNaN: true }),
      fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 300, maxLength: 600 }),
      (perSecond, gaps) => {
        const limit = new RequestRateLimit();
        limit.note(0, 0, perSecond);
        const starts = startAll(limit, gaps);
        const worst = Math.max(
          0,
          ...starts.map((at) => starts.filter((s) => s > at - WINDOW_MS && s <= at).length),
        );
        const allowed = (perSecond * WINDOW_MS) / 1_000;
        assert.ok(worst <= 1.1 * allowed + 2, `${worst} of ${allowed}`);
        const lengthMs = gaps.reduce((sum, gap) => sum + gap, 0);
        const owed = (perSecond * lengthMs) / 1_000;
        assert.ok(starts.length >= 0.9 * owed - 1, `${starts.length} of ${owed}`);
      },
    ),
    { seed: 41, numRuns: RUNS },
  );
});

test('a first limit starts with nothing in hand', () => {
  const limit = new RequestRateLimit();
  limit.note(1_000, 900, 2);
  assert.equal(limit.startableAt(1_000), 1_400);
});

test('time in which nothing starts, as while the process is suspended, adds no more than the burst', () => {
  const limit = new RequestRateLimit();
  limit.note(0, 0, 20);
  const now = 60_000;
  let started = 0;
  for (; limit.startableAt(now) <= now; started += 1) limit.noteStart(now);
  assert.ok(started <= 3, `${started}`);
});

test('a limit of 0 lets a trial start now and then, to learn that it has changed', () => {
  const limit = new RequestRateLimit();
  limit.note(0, 0, 0);
  const starts = startAll(
    limit,
    Array.from({ length: 600 }, () => 50),
  );
  assert.ok(starts.length <= MIN_TRIAL_RATE * 30 + 1, `${starts.length}`);
  assert.ok(starts.length >= MIN_TRIAL_RATE * 30 - 2, `${starts.length}`);
});

for (const [name, sentAt, stated, expected] of [
  ['a lower limit holds at once', 50, 2, 2],
  ['a higher limit of an earlier request is overtaken', 50, 8, 5],
  ['a missing limit of an earlier request is overtaken', 50, undefined, 5],
  ['a higher limit of a later request holds', 150, 8, 8],
  ['a later request without a limit lifts it', 150, undefined, undefined],
] as const) {
  test(name, () => {
    const limit = new RequestRateLimit();
    limit.note(100, 0, 5);
    limit.note(200, sentAt, stated);
    assert.equal(limit.requestsPerSecond, expected);
  });
}

test('a limit that changes up and down yields no additional requests', () => {
  const limit = new RequestRateLimit();
  let started = 0;
  for (let now = 0; now < 10_000; now += 10) {
    limit.note(now, now, (now / 10) % 2 === 0 ? 5 : 10);
    for (; limit.startableAt(now) <= now; started += 1) limit.noteStart(now);
  }
  assert.ok(started <= 101, `${started}`);
});

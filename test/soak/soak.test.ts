/** Short soak runs, and the newest seeds that have failed, as part of the tests of every change. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FAILED_SEEDS, LONG_RUN } from './failed-seeds.js';
import { createSchedule } from './schedule.js';
import { runSoak, type SoakOptions } from './soak-run.js';

const SHORT = { machines: 5, callersPerMachine: 3, lengthMs: 10_000 };

const RUNS: readonly (readonly [why: string, options: SoakOptions])[] = [
  ['overlapping stops, changes and faults', { ...SHORT, seed: 2_001 }],
  ['the same with another seed', { ...SHORT, seed: 2_002 }],
  ['a store that is restored from older copies', { ...SHORT, seed: 2_003, drills: true }],
  ['open connections that go silent', { ...SHORT, lengthMs: 20_000, seed: 2_005, silences: true }],
];

const STATEMENTS: SoakOptions = { ...SHORT, lengthMs: 14_000, seed: 2_004, statements: true };

const NEWEST_FAILED = FAILED_SEEDS.slice(0, 2);

for (const [why, options] of [
  ...RUNS,
  ...NEWEST_FAILED.map(
    ({ cause, options, seed }) => [cause, { ...LONG_RUN, ...options, seed }] as const,
  ),
]) {
  test(`soak seed ${options.seed} keeps every guarantee: ${why}`, async () => {
    const { violations, requests, served } = await runSoak(options);
    assert.deepEqual(violations, []);
    assert.ok(requests > 500, `${requests} requests`);
    assert.ok(served > requests / 3, `${served} of ${requests} served`);
  });
}

test('a soak with request limits and leaves that targets state keeps every guarantee', async () => {
  const { violations, requests, served } = await runSoak(STATEMENTS);
  assert.deepEqual(violations, []);
  assert.ok(requests > 500, `${requests} requests`);
  assert.ok(served > 0, `${served} of ${requests} served`);
});

test('a seed always gives the same schedule, and another seed another one', () => {
  const [first, again, other] = [7, 7, 8].map((seed) => createSchedule(seed, 5, 10_000));
  assert.deepEqual(first, again);
  assert.notDeepEqual(first, other);
});

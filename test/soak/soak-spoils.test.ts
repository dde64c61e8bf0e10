/** Short soak runs with spoiled and endless answers of servers, and with limits of tenants over a store that writes late. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runSoak, type SoakOptions } from './soak-run.js';

const SHORT = { machines: 5, callersPerMachine: 4, lengthMs: 12_000 };

const RUNS: readonly (readonly [why: string, options: SoakOptions])[] = [
  ['targets that spoil answers and refuse twice', { ...SHORT, seed: 2_006, spoils: true }],
  ['servers that send without end and disturbed starts', { ...SHORT, seed: 2_010, floods: true }],
  ['tenants with limits and writes that are done late', { ...SHORT, seed: 2_007, limits: true }],
];

for (const [why, options] of RUNS) {
  test(`soak seed ${options.seed} keeps every guarantee: ${why}`, async () => {
    const { violations, requests, served } = await runSoak(options);
    assert.deepEqual(violations, []);
    assert.ok(requests > 500, `${requests} requests`);
    assert.ok(served > requests / 3, `${served} of ${requests} served`);
  });
}

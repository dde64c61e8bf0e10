/** A short soak run with crowds of clients beyond the limits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runSoak } from './soak-run.js';

const OPTIONS = { machines: 5, callersPerMachine: 3, lengthMs: 10_000, seed: 2_009, crowds: true };

test('soak seed 2009 keeps every guarantee: crowds of clients beyond the limits', async () => {
  const { violations, requests, served } = await runSoak(OPTIONS);
  assert.deepEqual(violations, []);
  assert.ok(requests > 500, `${requests} requests`);
  assert.ok(served > requests / 3, `${served} of ${requests} served`);
});

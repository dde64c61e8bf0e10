/**
 * Runs random schedules of faults on real processes, for a short fixed list of seeds. Asserts the
 * guarantees alone, which hold under any schedule; `sillshore experiment faults` takes any seed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runFaults } from './fault-run.js';
import {
  assertGuarantees,
  RATE_FACTOR,
  withDeployment,
} from '../../test/support/process-test-deployment.js';

const TIMEOUT_MS = 120_000;
/** With seed 4, two of three claim replicas are lost at once. */
const SEEDS = [1, 4];

for (const seed of SEEDS) {
  test(`random faults: seed ${seed}`, { timeout: TIMEOUT_MS }, async (context) => {
    await withDeployment(async (deployment) => {
      const options = { seed, faults: 8, durationMs: 6_000, rateFactor: RATE_FACTOR };
      const { report, log, calmSent, calmComplete } = await runFaults(deployment, options);
      context.diagnostic(
        `${calmComplete} of ${calmSent} complete after the faults; ${log.join('; ')}`,
      );
      assert.ok(report.complete > 0);
      assertGuarantees(report);
    });
  });
}

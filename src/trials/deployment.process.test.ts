/** Serving, leaving back ends and planned stops of nodes, under load on separate processes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import {
  assertAllComplete,
  assertGuarantees,
  RATE_FACTOR,
  withDeployment,
} from '../../test/support/process-test-deployment.js';

const MAX_WORK_AFTER_DRAIN_MS = 3_000;
/**
 * Callers that retry requests refused as not run: on a busy machine a charge or a claim may miss
 * its time limit of 250 ms.
 */
const RETRYING_CALLERS = { rateFactor: RATE_FACTOR, tries: 8, retryDelayMs: 100 };

test('every kind is served over the whole path', async () => {
  await withDeployment(async (deployment) => {
    const callers = await deployment.startCallers({ durationMs: 3_000, ...RETRYING_CALLERS });
    const result = await callers.result;
    const report = await deployment.check([result]);
    assertGuarantees(report);
    assertAllComplete(result);
    const steps = report.kinds.find(({ kind }) => kind === 'script-step');
    assert.ok(steps !== undefined && steps.attempts >= 3 * steps.requests);
  });
});

test('a leaving back end gets no new work within seconds', async () => {
  await withDeployment(async (deployment) => {
    // The machine list lags by a minute, so nodes must notice each leaving target by another sign.
    await deployment.controlPlatform({ machineListLagMs: 60_000 });
    const callers = await deployment.startCallers({ durationMs: 8_000, ...RETRYING_CALLERS });
    await delay(1_500);
    const misleading = { healthOverride: 'serving', loadOverride: 0 } as const;
    await deployment.controlTarget('script-guide-1', {
      drain: true,
      refuseAfterMs: 60_000,
      ...misleading,
    });
    await deployment.controlTarget('objection-answers-1', { silentDrain: true });
    await deployment.controlTarget('promise-ledger-1', { silentDrain: true, ...misleading });
    await deployment.nodes[2]!.admin.drainTarget('promise-ledger-1');
    const result = await callers.result;
    assertGuarantees(await deployment.check([result]));
    assertAllComplete(result);
    const journals = await deployment.readJournals();
    for (const id of ['script-guide-1', 'objection-answers-1', 'promise-ledger-1']) {
      const counters = journals.find(({ target }) => target === id)!.counters;
      const seconds = (counters.lastReceivedAt - counters.drainStartedAt) / 1_000;
      assert.ok(seconds * 1_000 <= MAX_WORK_AFTER_DRAIN_MS, `${id}: new work after ${seconds} s`);
    }
  });
});

test('a planned stop of each node in turn cuts off nothing', async (context) => {
  await withDeployment(async (deployment) => {
    const callers = await deployment.startCallers({
      durationMs: 60_000,
      ...RETRYING_CALLERS,
    });
    for (const { id } of deployment.nodes) {
      await delay(200);
      const end = await deployment.stopNode(id);
      assert.equal(end.code, 0, `${id} exited with ${JSON.stringify(end)}`);
      await deployment.restartNode(id);
      await deployment.waitInForce();
    }
    await callers.stop();
    const result = await callers.result;
    const report = await deployment.check([result]);
    assertGuarantees(report);
    assert.equal(report.cut, 0);
    const timedOut = result.records.filter(({ tries }) =>
      tries.some(({ ended }) => ended === 'timeout'),
    );
    assert.deepEqual(timedOut, [], 'attempts that timed out');
    await context.test('every request completes during planned stops', () => {
      try {
        assertAllComplete(result);
      } catch (error) {
        // A failed subtest does not throw here, so `withDeployment` would not print the logs.
        console.error(deployment.logs());
        throw error;
      }
    });
  });
});

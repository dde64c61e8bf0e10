/** Serving, leaving and planned stops, with a deployment of separate processes under load. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import {
  assertAllComplete,
  assertGuarantees,
  RATE_FACTOR,
  withDeployment,
} from '../../test/support/process-test-deployment.js';

const LEAVING_LIMIT_MS = 3_000;
/**
 * Callers that repeat what was refused as not run: on a busy machine a charge or a claim may not
 * be answered in its 250 ms.
 */
const PATIENT_CALLERS = { rateFactor: RATE_FACTOR, tries: 8, retryDelayMs: 100 };

test('every kind is served over the whole path', async () => {
  await withDeployment(async (deployment) => {
    const callers = await deployment.startCallers({ durationMs: 3_000, ...PATIENT_CALLERS });
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
    // The list lags and so tells nothing in time; each target leaves with one other sign.
    await deployment.controlPlatform({ machineListLagMs: 60_000 });
    const callers = await deployment.startCallers({ durationMs: 8_000, ...PATIENT_CALLERS });
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
      assert.ok(seconds * 1_000 <= LEAVING_LIMIT_MS, `${id}: new work after ${seconds} s`);
    }
  });
});

test('a planned stop of each node in turn cuts off nothing', async (context) => {
  await withDeployment(async (deployment) => {
    const callers = await deployment.startCallers({
      durationMs: 60_000,
      ...PATIENT_CALLERS,
    });
    for (const { id } of deployment.nodes) {
      await delay(200);
      const end = await deployment.stopNode(id);
      assert.equal(end.code, 0, `${id} ended with ${JSON.stringify(end)}`);
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
    assert.deepEqual(timedOut, [], 'tries that waited to the end of their time');
    await context.test('every request completes during planned stops', () => {
      try {
        assertAllComplete(result);
      } catch (error) {
        // A failed subtest does not throw here, so that nobody else would print the logs.
        console.error(deployment.logs());
        throw error;
      }
    });
  });
});

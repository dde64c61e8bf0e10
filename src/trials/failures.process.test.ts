/** Killed and paused nodes, and retries at every layer, with a deployment of separate processes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import {
  assertGuarantees,
  RATE_FACTOR,
  withDeployment,
} from '../../test/support/process-test-deployment.js';

/** Longer than the timeouts of links and of failure detection. */
const PAUSE_MS = 4_000;
/** Load after the restart of a node, however long the restart took. */
const LOAD_AFTER_RESTART_MS = 5_000;
/** Longest load of a run; the test stops it as soon as enough was sent. */
const MAX_LOAD_MS = 90_000;

test('a killed node doubles nothing and gives no wrong answer', async () => {
  await withDeployment(async (deployment) => {
    const callers = await deployment.startCallers({
      durationMs: MAX_LOAD_MS,
      rateFactor: RATE_FACTOR,
      tries: 4,
      retryDelayMs: 100,
      tryPatience: 0.1,
    });
    await delay(1_500);
    const victim = deployment.nodes[0]!;
    await victim.process.stop('SIGKILL');
    await delay(2_500);
    await deployment.restartNode(victim.id);
    const restartedAt = Date.now();
    await delay(LOAD_AFTER_RESTART_MS);
    await callers.stop();
    const result = await callers.result;
    assertGuarantees(await deployment.check([result]));
    for (const { kind } of result.kinds) {
      const afterRestart = result.records.filter(
        (record) => record.kind === kind && record.sentAt > restartedAt + 1_000,
      );
      const complete = afterRestart.filter(({ verdict }) => verdict === 'complete');
      assert.ok(complete.length > 0, `${kind} is not served after the restart`);
    }
  });
});

test('a paused node doubles nothing and serves again', async () => {
  await withDeployment(async (deployment) => {
    const callers = await deployment.startCallers({
      durationMs: 8_000,
      kinds: ['promise-entry', 'plan-change'],
      tries: 6,
      retryDelayMs: 50,
      tryPatience: 0.03,
    });
    await delay(1_000);
    const paused = deployment.nodes[1]!;
    paused.process.signal('SIGSTOP');
    await delay(PAUSE_MS);
    paused.process.signal('SIGCONT');
    const result = await callers.result;
    assertGuarantees(await deployment.check([result]));
    await deployment.waitInForce();
    assert.ok(result.kinds.every(({ complete }) => complete > 0));
  });
});

test('attempts stay within the bound when every layer retries and one drops the context', async () => {
  await withDeployment(async (deployment) => {
    const ids = deployment.targets.map(({ plan }) => plan.id);
    for (const id of ids.filter((name) => name.startsWith('recording-archive'))) {
      await deployment.controlTarget(id, { dieMidAnswer: true });
    }
    for (const id of ids.filter((name) => /^(script-guide|objection-answers)/.test(name))) {
      await deployment.controlTarget(id, { ownRetries: 3 });
    }
    await deployment.controlTarget('objection-answers-2', { dropContext: true });
    const callers = await deployment.startCallers({
      durationMs: 3_000,
      kinds: ['script-step'],
      tries: 6,
      tryPatience: 0.05,
    });
    const result = await callers.result;
    const report = await deployment.check([result]);
    assertGuarantees(report);
    const { attempts: bound } = deployment.plan.rules.services[0]!.kinds[0]!;
    assert.equal(report.maxAttempts, bound, 'retries do not reach the bound');
  });
});

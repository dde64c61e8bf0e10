/**
 * Deployments for process tests. Deadlines are stretched, so that no verdict depends on the
 * speed of the machine.
 */
import assert from 'node:assert/strict';
import type { Rules } from '../../src/config/rules.js';
import type { CallersResult } from '../../src/stand-ins/callers/start-callers.js';
import type { Workload } from '../../src/stand-ins/workload.js';
import { Deployment } from '../../src/trials/deployment.js';
import type { GuaranteeReport } from '../../src/trials/guarantees.js';

/** Default factor on the example's deadlines and on the callers' patience. */
const STRETCH = 10;
/** Part of the example's load: enough for every kind, little enough for a busy machine. */
export const RATE_FACTOR = 0.5;

function stretchDeadlines(rules: Rules, stretch: number): Rules {
  const services = rules.services.map((service) => ({
    ...service,
    kinds: service.kinds.map((kind) => ({ ...kind, deadlineMs: kind.deadlineMs * stretch })),
  }));
  return { ...rules, services };
}

function stretchPatience(workload: Workload, stretch: number): Workload {
  const streams = workload.streams.map((stream) => ({
    ...stream,
    patienceMs: stream.patienceMs * stretch,
  }));
  return { ...workload, streams };
}

/** Starts Recife with stretched deadlines; whoever starts it stops it. */
export async function startTestDeployment(stretch = STRETCH): Promise<Deployment> {
  return await Deployment.start({
    example: 'recife',
    changeRules: (rules) => stretchDeadlines(rules, stretch),
    changeWorkload: (workload) => stretchPatience(workload, stretch),
  });
}

/** Runs `use` with a started deployment of Recife, prints the logs when it fails, stops all. */
export async function withDeployment(
  use: (deployment: Deployment) => Promise<void>,
): Promise<void> {
  const deployment = await startTestDeployment();
  try {
    await use(deployment);
  } catch (error) {
    console.error(deployment.logs());
    throw error;
  } finally {
    await deployment.stop();
  }
}

/** Nothing that must always hold was broken. */
export function assertGuarantees(report: GuaranteeReport): void {
  assert.deepEqual(report.violations, []);
  const { doubled, wrongAnswer, notRunButRan, aboveBound } = report;
  assert.deepEqual([doubled, wrongAnswer, notRunButRan, aboveBound], [0, 0, 0, 0]);
}

/** Every request of every kind got its complete answer; prints the tries of those that did not. */
export function assertAllComplete(result: CallersResult): void {
  for (const record of result.records) {
    if (record.verdict !== 'complete') console.error(`incomplete: ${JSON.stringify(record)}`);
  }
  for (const { kind, sent, complete, codes } of result.kinds) {
    assert.ok(sent > 0, kind);
    assert.equal(complete, sent, `${kind}: ${JSON.stringify(codes)}`);
  }
}

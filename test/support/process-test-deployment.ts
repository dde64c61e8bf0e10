/**
 * Deployments for process tests. Deadlines are extended, so that no result depends on the
 * speed of the machine.
 */
import assert from 'node:assert/strict';
import type { Rules } from '../../src/config/rules.js';
import type { CallersResult } from '../../src/stand-ins/callers/start-callers.js';
import type { Workload } from '../../src/stand-ins/workload.js';
import { Deployment } from '../../src/trials/deployment.js';
import type { GuaranteeReport } from '../../src/trials/guarantees.js';

/** Default factor by which the example's deadlines and the callers' time limits are multiplied. */
const DEADLINE_FACTOR = 10;
/** Fraction of the example's load: enough for every kind, and low enough for a busy machine. */
export const RATE_FACTOR = 0.5;

function stretchDeadlines(rules: Rules, stretch: number): Rules {
  const services = rules.services.map((service) => ({
    ...service,
    kinds: service.kinds.map((kind) => ({ ...kind, deadlineMs: kind.deadlineMs * stretch })),
  }));
  return { ...rules, services };
}

function stretchTimeLimits(workload: Workload, stretch: number): Workload {
  const streams = workload.streams.map((stream) => ({
    ...stream,
    patienceMs: stream.patienceMs * stretch,
  }));
  return { ...workload, streams };
}

/** Starts the example `recife` with extended deadlines; the caller stops it. */
export async function startTestDeployment(stretch = DEADLINE_FACTOR): Promise<Deployment> {
  return await Deployment.start({
    example: 'recife',
    changeRules: (rules) => stretchDeadlines(rules, stretch),
    changeWorkload: (workload) => stretchTimeLimits(workload, stretch),
  });
}

/** Runs `use` with a started deployment, prints the logs if it fails, and stops the deployment. */
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

/** Asserts that no guarantee was violated. */
export function assertGuarantees(report: GuaranteeReport): void {
  assert.deepEqual(report.violations, []);
  const { doubled, wrongAnswer, notRunButRan, aboveBound } = report;
  assert.deepEqual([doubled, wrongAnswer, notRunButRan, aboveBound], [0, 0, 0, 0]);
}

/** Asserts that every request got its complete answer; prints the records of those that did not. */
export function assertAllComplete(result: CallersResult): void {
  for (const record of result.records) {
    if (record.verdict !== 'complete') console.error(`incomplete: ${JSON.stringify(record)}`);
  }
  for (const { kind, sent, complete, codes } of result.kinds) {
    assert.ok(sent > 0, kind);
    assert.equal(complete, sent, `${kind}: ${JSON.stringify(codes)}`);
  }
}

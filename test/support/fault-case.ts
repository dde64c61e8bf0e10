/**
 * One case of the table of faults: load, scripted faults, recovery, and the journals' verdict.
 * Random schedules are in fault-run.ts.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Deployment } from '../../src/trials/deployment.js';
import type { GuaranteeReport } from '../../src/trials/guarantees.js';
import { RATE_FACTOR } from './process-test-deployment.js';

/** Load before the first fault, in milliseconds. */
const WARM_UP_MS = 800;
/** Bound on the load of one run; it is ended as soon as the faults are over. */
const MAX_LOAD_MS = 90_000;
/** Load that shows whether every kind is served again, in milliseconds, and its repeats. */
const SERVED_AGAIN_MS = 2_000;
const SERVED_AGAIN_ROUNDS = 8;

/** Callers that repeat hard: a try is given up early and repeated at the next entry. */
const HARD_RETRIES = { tries: 5, retryDelayMs: 50, tryPatience: 0.1 } as const;

/** Brings faults on and ends them again; stopped nodes are started by the driver. */
export type FaultScript = (deployment: Deployment) => Promise<void>;

/** What a run gave. */
export interface FaultCaseResult {
  readonly report: GuaranteeReport;
  /** Kinds without a complete answer after the faults, with what they got. */
  readonly notServedAgain: readonly string[];
}

/** Runs load, the faults, the recovery and the check. */
export async function runFaultCase(
  deployment: Deployment,
  seed: number,
  faults: FaultScript,
): Promise<FaultCaseResult> {
  const callers = await deployment.startCallers({
    durationMs: MAX_LOAD_MS,
    rateFactor: RATE_FACTOR,
    seed,
    ...HARD_RETRIES,
  });
  await delay(WARM_UP_MS);
  try {
    await faults(deployment);
  } finally {
    await recover(deployment);
    await callers.stop();
  }
  const result = await callers.result;
  const notServedAgain = await findNotServed(deployment, seed);
  const report = await deployment.check([result]);
  return { report, notServedAgain };
}

/** Ends what still lasts, starts stopped nodes and waits until all have the rules. */
async function recover(deployment: Deployment): Promise<void> {
  await deployment.controlPlatform({ outage: 'none', machinesOutage: 'none', delayMs: 0 });
  for (const { process } of deployment.nodes) process.signal('SIGCONT');
  const stopped = deployment.nodes.filter(({ process }) => !process.running);
  await Promise.all(stopped.map(({ id }) => deployment.restartNode(id)));
  await deployment.waitInForce();
}

async function findNotServed(deployment: Deployment, seed: number): Promise<string[]> {
  let missing: string[] = deployment.plan.workload.streams.map(({ kind }) => kind);
  let answers: string[] = [];
  for (let round = 0; round < SERVED_AGAIN_ROUNDS && missing.length > 0; round += 1) {
    const durationMs = SERVED_AGAIN_MS;
    const callers = await deployment.startCallers({
      durationMs,
      seed: seed + round + 1,
      kinds: missing,
    });
    const { kinds } = await callers.result;
    const unserved = kinds.filter(({ complete }) => complete === 0);
    missing = unserved.map(({ kind }) => kind);
    answers = unserved.map(({ kind, sent, codes }) => `${kind} ${sent} ${JSON.stringify(codes)}`);
  }
  return answers;
}

/**
 * One case of the fault table: load, scripted faults, recovery and a check of the journals.
 * Random schedules are in src/trials/fault-run.ts.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Deployment } from '../../src/trials/deployment.js';
import type { GuaranteeReport } from '../../src/trials/guarantees.js';
import { RATE_FACTOR } from './process-test-deployment.js';

/** Load before the first fault, in milliseconds. */
const WARM_UP_MS = 800;
/** Longest duration of the load of one run; it is stopped as soon as the faults are over. */
const MAX_LOAD_MS = 90_000;
/** Load that checks whether every kind is served again: duration of a round and maximum of rounds. */
const RECOVERY_LOAD_MS = 2_000;
const MAX_RECOVERY_ROUNDS = 8;

/** Callers that retry aggressively: an attempt is abandoned early and retried at the next entry. */
const AGGRESSIVE_RETRIES = { tries: 5, retryDelayMs: 50, tryPatience: 0.1 } as const;

/** Starts and ends faults; {@link runFaultCase} restarts the nodes that are still stopped. */
export type FaultScript = (deployment: Deployment) => Promise<void>;

/** Result of a run. */
export interface FaultCaseResult {
  readonly report: GuaranteeReport;
  /** Kinds without a complete answer after the faults, with their requests and result codes. */
  readonly notServedAgain: readonly string[];
}

/** Runs the load, the faults, the recovery and the check. */
export async function runFaultCase(
  deployment: Deployment,
  seed: number,
  faults: FaultScript,
): Promise<FaultCaseResult> {
  const callers = await deployment.startCallers({
    durationMs: MAX_LOAD_MS,
    rateFactor: RATE_FACTOR,
    seed,
    ...AGGRESSIVE_RETRIES,
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

/** Ends remaining faults, starts stopped nodes and waits until all nodes have the rules. */
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
  for (let round = 0; round < MAX_RECOVERY_ROUNDS && missing.length > 0; round += 1) {
    const durationMs = RECOVERY_LOAD_MS;
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

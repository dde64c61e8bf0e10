/** Faults of the processes of a deployment, and how they end. */
import { setTimeout as delay } from 'node:timers/promises';
import { NO_FAULTS, type BackendControl } from '../../src/stand-ins/backend/backend-faults.js';
import { Event } from '../../src/kernel/event.js';
import type { Deployment, RunningNode } from '../../src/trials/deployment.js';
import { poll } from '../../src/trials/http-json.js';

/** Longest wait for a start while faults last; the recovery starts a node that takes longer. */
const RESTART_TIMEOUT_MS = 6_000;
const VOTE_TIMEOUT_MS = 20_000;

/** Suspends a node's process for a while; the process does not notice. */
export async function pauseNode(node: RunningNode, pauseMs: number): Promise<void> {
  node.process.signal('SIGSTOP');
  await delay(pauseMs);
  node.process.signal('SIGCONT');
}

/** Kills a node and restarts it after a while with empty memory. */
export async function killNode(
  deployment: Deployment,
  node: RunningNode,
  downMs: number,
): Promise<void> {
  await node.process.stop('SIGKILL');
  await delay(downMs);
  await startAgain(deployment, node);
}

/**
 * Waits until the claim replica of a node votes. The node is ready some 200 ms earlier; a test that
 * kills the next node in that time loses two of three replicas at once.
 */
export async function waitForVote({ id, process }: RunningNode): Promise<void> {
  const line = `"event":${Event.ClaimReplicaReady}`;
  await poll(`${id} votes`, VOTE_TIMEOUT_MS, () => Promise.resolve(process.stderr.includes(line)));
}

/** Stops a node as planned; rejects if the node exited before the stop was complete. */
export async function stopNode(deployment: Deployment, node: RunningNode): Promise<void> {
  const end = await deployment.stopNode(node.id);
  if (end.code !== 0) throw new Error(`${node.id} did not stop cleanly: ${JSON.stringify(end)}`);
}

/** Restarts a node; during an outage the start may complete only after the faults have ended. */
export async function startAgain(deployment: Deployment, node: RunningNode): Promise<void> {
  const started = deployment.restartNode(node.id).catch(() => {});
  await Promise.race([started, delay(RESTART_TIMEOUT_MS, undefined, { ref: false })]);
}

/** Causes an outage of the platform for a while. */
export async function breakPlatform(
  deployment: Deployment,
  outage: 'refuse' | 'reset' | 'hang',
  outageMs: number,
): Promise<void> {
  await deployment.controlPlatform({ outage });
  await delay(outageMs);
  await deployment.controlPlatform({ outage: 'none' });
}

/** Switches on faults of a back end for a while. */
export async function disturbTarget(
  deployment: Deployment,
  target: string,
  faults: BackendControl,
  faultMs: number,
): Promise<void> {
  await deployment.controlTarget(target, faults);
  await delay(faultMs);
  const ended = Object.keys(faults).map((name) => [
    name,
    NO_FAULTS[name as keyof typeof NO_FAULTS],
  ]);
  await deployment.controlTarget(target, Object.fromEntries(ended) as BackendControl);
}

/** Faults over the processes of a deployment, each with its end. */
import { setTimeout as delay } from 'node:timers/promises';
import { NO_FAULTS, type BackendControl } from '../../src/stand-ins/backend/backend-faults.js';
import { Event } from '../../src/kernel/event.js';
import type { Deployment, RunningNode } from '../../src/trials/deployment.js';
import { poll } from '../../src/trials/http-json.js';

/** Longest time that a node may take to start while faults last; the recovery starts it later. */
const RESTART_LIMIT_MS = 6_000;
const VOTE_LIMIT_MS = 20_000;

/** Stands a node's process still; it continues unaware. */
export async function pauseNode(node: RunningNode, pauseMs: number): Promise<void> {
  node.process.signal('SIGSTOP');
  await delay(pauseMs);
  node.process.signal('SIGCONT');
}

/** Kills a node and starts it again after a while, with empty memory. */
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
 * Waits until the claim replica of a node votes. A node is ready some 200 ms earlier; whoever
 * kills the next one in that time has lost two replicas of three at once.
 */
export async function waitForVote({ id, process }: RunningNode): Promise<void> {
  const line = `"event":${Event.ClaimReplicaReady}`;
  await poll(`${id} votes`, VOTE_LIMIT_MS, () => Promise.resolve(process.stderr.includes(line)));
}

/** Planned stop of a node; rejects when the node ended before its stop was complete. */
export async function stopNode(deployment: Deployment, node: RunningNode): Promise<void> {
  const end = await deployment.stopNode(node.id);
  if (end.code !== 0) throw new Error(`${node.id} ended with ${JSON.stringify(end)}`);
}

/** Starts a node; during an outage it may have to wait for the end of the faults. */
export async function startAgain(deployment: Deployment, node: RunningNode): Promise<void> {
  const started = deployment.restartNode(node.id).catch(() => {});
  await Promise.race([started, delay(RESTART_LIMIT_MS, undefined, { ref: false })]);
}

/** Takes the platform away for a while. */
export async function breakPlatform(
  deployment: Deployment,
  outage: 'refuse' | 'reset' | 'hang',
  outageMs: number,
): Promise<void> {
  await deployment.controlPlatform({ outage });
  await delay(outageMs);
  await deployment.controlPlatform({ outage: 'none' });
}

/** Switches faults of a back end for a while. */
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

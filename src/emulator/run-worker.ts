/** Worker thread of {@link runAll}: makes the runs that it receives, one at a time. */
import { parentPort, workerData } from 'node:worker_threads';
import type { RunReply, RunRequest } from './run-pool.js';
import { runScenario } from './run-scenario.js';
import type { Scenario } from './scenario.js';

const scenario = workerData as Scenario;

parentPort?.on('message', ({ index, policy, seed }: RunRequest) => {
  const reply: RunReply = { index, result: runScenario(scenario, policy, seed) };
  parentPort?.postMessage(reply);
});

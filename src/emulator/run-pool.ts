/** Makes the runs of one scenario on worker threads; the results keep the order of the requests. */
import { Worker } from 'node:worker_threads';
import type { RunResult } from './run-result.js';
import type { Scenario } from './scenario.js';

/** One run to make. */
export interface RunRequest {
  readonly index: number;
  readonly policy: string;
  readonly seed: number;
}

/** A finished run. */
export interface RunReply {
  readonly index: number;
  readonly result: RunResult;
}

/** Called after each run. */
export type ProgressListener = (done: number, total: number, run: RunResult) => void;

/** A larger young generation per thread, because most objects of a run do not outlive a request. */
const YOUNG_GENERATION_MB = 64;

/** Makes all runs on up to `jobs` threads; rejects when a thread fails, which is a defect. */
export async function runAll(
  scenario: Scenario,
  requests: readonly RunRequest[],
  jobs: number,
  onProgress: ProgressListener,
): Promise<RunResult[]> {
  const results = new Array<RunResult>(requests.length);
  const pending = [...requests];
  let done = 0;
  const onReply = ({ index, result }: RunReply) => {
    results[index] = result;
    done += 1;
    onProgress(done, requests.length, result);
  };
  const threads = Math.min(jobs, requests.length);
  await Promise.all(Array.from({ length: threads }, () => runThread(scenario, pending, onReply)));
  return results;
}

/** Starts a thread that takes requests until none is left. */
function runThread(
  scenario: Scenario,
  pending: RunRequest[],
  onReply: (reply: RunReply) => void,
): Promise<void> {
  const worker = new Worker(new URL('./run-worker.js', import.meta.url), {
    workerData: scenario,
    resourceLimits: { maxYoungGenerationSizeMb: YOUNG_GENERATION_MB },
  });
  return new Promise((resolve, reject) => {
    const next = () => {
      const request = pending.shift();
      if (request !== undefined) worker.postMessage(request);
      else void worker.terminate().then(() => resolve());
    };
    worker.on('error', reject);
    worker.on('message', (reply: RunReply) => {
      onReply(reply);
      next();
    });
    next();
  });
}

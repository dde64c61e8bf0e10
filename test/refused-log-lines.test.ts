/** Runs nodes as processes whose standard output refuses what is written, or is not read. */
import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { closeSync, constants, mkdtempSync, openSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { sendRequest, waitUntil } from './stand-ins/mesh.js';
import { ProcessMesh, type ProcessMachine } from './support/process-mesh.js';

const STOP_TIMEOUT_MS = 8_000;
const ANSWER_TIMEOUT_MS = 6_000;
/** With the log level of the deployment, enough lines to fill a pipe. */
const REQUESTS = 400;

let mesh: ProcessMesh;
let machine: ProcessMachine;
let directory: string;

beforeEach(async () => {
  directory = mkdtempSync(join(tmpdir(), 'sillshore-log-'));
  mesh = new ProcessMesh();
  await mesh.start();
  mesh.putRules(1, [{ path: '/read/', service: 'ledger' }]);
  machine = await mesh.add({ service: 'ledger', zone: 'z', slots: 8, workMs: 1 });
  await mesh.waitUntilServing(['/read/warm']);
  await machine.process.stop('SIGKILL');
});

afterEach(async () => {
  await mesh.stop();
  rmSync(directory, { recursive: true });
});

/** A process that hangs gives no answer. */
async function isServed(): Promise<boolean> {
  const request = sendRequest(machine.entry, { path: '/read/a', attemptId: 'a' });
  const answer = await Promise.race([
    request.catch(() => undefined),
    sleep(ANSWER_TIMEOUT_MS, undefined, { ref: false }),
  ]);
  return answer?.status === 200;
}

/** Opens a pipe that nobody reads; opening it for reading and writing doesn't wait for a reader. */
function openUnreadPipe(): number {
  const path = join(directory, 'pipe');
  execFileSync('mkfifo', [path]);
  return openSync(path, constants.O_RDWR);
}

for (const [what, open] of [
  ['a full disk', () => openSync('/dev/full', 'w')],
  ['a descriptor that cannot be written', () => openSync('/dev/null', 'r')],
  ['a pipe that nobody reads', openUnreadPipe],
] as const) {
  test(`log lines to ${what} neither end nor hang a process`, async () => {
    const descriptor = open();
    try {
      machine.start(descriptor);
      await waitUntil(isServed);
      for (let request = 0; request < REQUESTS; request += 1) {
        assert.ok(await isServed(), 'a request was not served');
      }
      const { code, signal } = await machine.process.stop('SIGTERM', STOP_TIMEOUT_MS);
      assert.deepEqual([code, signal], [0, null], machine.process.stderr);
    } finally {
      closeSync(descriptor);
    }
  });
}

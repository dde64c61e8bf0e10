/**
 * Targets and a store that answer without end, against nodes in processes of their own with the heap and the
 * memory of a machine. The nodes must live, stay within their memory and serve an ordinary request afterwards.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { sendRequest, waitUntil } from './stand-ins/mesh.js';
import { ENDLESS_ANSWERS, sendWithoutEnd } from './support/endless-bytes.js';
import { peakMemoryBytes } from './support/process-footprint.js';
import { ProcessMesh, type ProcessMachine } from './support/process-mesh.js';

const BYTES_PER_MB = 1024 * 1024;
const MEMORY_MB = 350;
const RUNTIME_FLAGS = ['--max-old-space-size=120'];
const REQUESTS = 40;
/** Default of `limits.storeAnswerMb`. */
const STORE_ANSWER_BYTES = 4 * BYTES_PER_MB;
/** Long enough for several calls to the store, each of which is given up after a second. */
const SPOILED_STORE_MS = 4_000;

let mesh: ProcessMesh;
/** The node beside the target that answers without end, and one that sends it requests over a link. */
let beside: ProcessMachine;
let remote: ProcessMachine;

beforeEach(async () => {
  mesh = new ProcessMesh({ limits: { memoryMb: MEMORY_MB }, runtimeFlags: RUNTIME_FLAGS });
  await mesh.start();
  mesh.putRules(1, [
    { path: '/read/', service: 'ledger' },
    { path: '/other/', service: 'archive' },
  ]);
  beside = await mesh.add({ service: 'ledger', zone: 'z', slots: 2 * REQUESTS, workMs: 1 });
  remote = await mesh.add({ service: 'archive', zone: 'z', slots: 8, workMs: 1 });
  await mesh.waitUntilServing(['/read/warm', '/other/warm']);
});

afterEach(() => mesh.stop());

async function isServed(machine: ProcessMachine, path: string): Promise<boolean> {
  const request = { path, attemptId: `${path} ordinary`.replaceAll(/\W/g, '-') };
  return (await sendRequest(machine.entry, request).catch(() => undefined))?.status === 200;
}

test('a store that sends as many values as an answer may hold ends no process', async (context) => {
  const values = '{},'.repeat(STORE_ANSWER_BYTES / '{},'.length - 100);
  const body = `{"at":1,"events":[${values}{}],"items":[]}`;
  mesh.store.faults.spoil = (connection) => {
    connection.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
  };
  await sleep(SPOILED_STORE_MS);
  mesh.store.faults.spoil = undefined;
  await checkNodes(context);
});

async function checkNodes(context: TestContext): Promise<void> {
  for (const machine of [beside, remote]) {
    assert.ok(machine.isRunning, `${machine.id} ended: ${machine.log.slice(-1_000)}`);
    const peak = peakMemoryBytes(machine.process.id) / BYTES_PER_MB;
    context.diagnostic(`${machine.id}: peak ${peak.toFixed(0)} MB`);
    assert.ok(peak <= MEMORY_MB, `${machine.id}: peak ${peak.toFixed(0)} MB`);
    for (const path of ['/read/after', '/other/after']) {
      await waitUntil(() => isServed(machine, path));
    }
  }
}

for (const [what, createAnswer] of Object.entries(ENDLESS_ANSWERS)) {
  test(`a target that sends ${what} without end ends no process`, async (context) => {
    beside.target.behaviour = ({ attemptId, path }, { socket }) => {
      if (path !== '/read/endless' || socket === null) return false;
      const fields = `X-Attempt-Id: ${attemptId}\r\nX-Server-Stamp: s\r\n`;
      sendWithoutEnd(socket, createAnswer(fields));
      return true;
    };
    const answers = Array.from({ length: REQUESTS }, async (_, index) => {
      const machine = index % 2 === 0 ? beside : remote;
      const attemptId = `endless-${index}`;
      const { status } = await sendRequest(machine.entry, { path: '/read/endless', attemptId });
      return { attemptId, status };
    });
    for (const answer of await Promise.allSettled(answers)) {
      assert.ok(answer.status === 'fulfilled', 'a request got no answer');
      const { attemptId, status } = answer.value;
      const wasReceived = beside.target.received.some((each) => each.attemptId === attemptId);
      // Only a request that was not received may be reported as not run.
      assert.ok([200, 502, 504, ...(wasReceived ? [] : [503])].includes(status), String(status));
    }
    await checkNodes(context);
  });

  test(`a store that sends ${what} without end ends no process`, async (context) => {
    mesh.store.faults.spoil = (connection) => {
      sendWithoutEnd(connection, createAnswer('Content-Type: application/json\r\n'));
    };
    await sleep(SPOILED_STORE_MS);
    mesh.store.faults.spoil = undefined;
    await checkNodes(context);
    mesh.putRules(2, [
      { path: '/read/', service: 'ledger' },
      { path: '/other/', service: 'archive' },
      { path: '/new/', service: 'archive' },
    ]);
    await waitUntil(() => isServed(beside, '/new/rules'));
  });
}

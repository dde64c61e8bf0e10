/**
 * Finds the cause of a failed request from its id, with the commands of docs/OPERATIONS.md and the
 * lines that nodes log at their default level.
 */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { runCaptured } from './support/command-line.js';
import { BoundedEventLog } from '../src/kernel/bounded-event-log.js';
import { systemClock } from '../src/kernel/clock.js';
import { createEventLogTo, type EventLog } from '../src/kernel/event.js';
import { Mesh, sendRequest, waitUntil, type Machine } from './stand-ins/mesh.js';

const DEFAULT_LEVEL = 'info';
/** More than a warm-up can write, so that no line is dropped. */
const MAX_LINES_PER_SECOND = 1_000;

const written = new Map<string, string[]>();
let directory: string;
let mesh: Mesh;
let caller: Machine;
let backEnd: Machine;

before(async () => {
  directory = mkdtempSync(join(tmpdir(), 'sillshore-logs-'));
  mesh = new Mesh();
  await mesh.start();
  mesh.putRules(1, [
    { path: '/read/', service: 'back' },
    { path: '/write/', service: 'back', kind: 'non_idempotent' },
  ]);
  const options = { zone: 'z', workMs: 1 };
  caller = await mesh.add({ ...options, service: 'front', slots: 4 }, logOf('caller'));
  backEnd = await mesh.add({ ...options, service: 'back', slots: 1 }, logOf('back'));
  await mesh.sendHeartbeats();
  await mesh.sendUntil(caller, { path: '/read/warm' }, ({ status }) => status === 200);
});
after(async () => {
  await mesh.stop();
  rmSync(directory, { recursive: true });
});

/** A node's log with its default settings; keeps its lines in memory. */
function logOf(node: string): EventLog {
  const lines: string[] = [];
  written.set(node, lines);
  const destination = { write: (line: string) => lines.push(line) };
  const log = createEventLogTo(destination, DEFAULT_LEVEL, { node });
  return new BoundedEventLog(log, systemClock, MAX_LINES_PER_SECOND);
}

/** Output of `sillshore story ID FILE...` for the logs of all nodes. */
async function storyOf(id: string): Promise<string> {
  const files = [...written].map(([node, lines]) => {
    const file = join(directory, `${node}.log`);
    writeFileSync(file, lines.join(''));
    return file;
  });
  const { stdout } = await runCaptured(['story', id, ...files]);
  return stdout;
}

/** Lines of one event, as `grep '"event":N'` finds them. */
function grepEvent(node: string, event: number): readonly string[] {
  return (written.get(node) ?? []).filter((line) => line.includes(`"event":${event},`));
}

async function metricsOf(machine: Machine): Promise<string> {
  return (await sendRequest(machine.metrics, { path: '/metrics' })).body;
}

test('a request refused under load: its story has its code and rules version and the tried nodes', async () => {
  const pendingAnswers: (() => void)[] = [];
  backEnd.target.behaviour = ({ attemptId }, response) => {
    pendingAnswers.push(() => response.writeHead(200, { 'X-Attempt-Id': attemptId }).end());
    return true;
  };
  const holder = mesh.send(caller, { path: '/read/1', attemptId: 'holder' });
  await waitUntil(() => pendingAnswers.length === 1);
  const refused = { path: '/read/2', attemptId: 'refused', deadlineMs: 150 };
  const answer = await mesh.send(caller, refused);
  pendingAnswers[0]!();
  await holder;
  backEnd.target.behaviour = () => false;
  assert.equal(answer.status, 503);
  const story = await storyOf('refused');
  assert.match(
    story,
    /caller {2}RequestRefused {2}refused .*rules=1 tried=node-2 .*execution=not-run/,
  );
  assert.match(await metricsOf(caller), /sillshore_requests_total\{kind="route-1",code="[1-9]/);
});

test("a request with unknown outcome: the target's sidecar logs how the attempt failed", async () => {
  backEnd.target.behaviour = ({ attemptId }, response) => {
    if (attemptId !== 'unknown') return false;
    response.socket?.destroy();
    return true;
  };
  const request = { method: 'POST', path: '/write/1', attemptId: 'unknown' };
  const answer = await mesh.send(caller, request);
  backEnd.target.behaviour = () => false;
  assert.equal(answer.status, 502);
  const [attempt, end] = (await storyOf('unknown')).trim().split('\n');
  assert.match(attempt ?? '', /^back {2}AttemptFailed {2}unknown .*outcome=failed code=3002/);
  assert.match(end ?? '', /^caller {2}RequestFailed {2}unknown .*execution=unknown/);
  assert.match(await metricsOf(caller), /sillshore_requests_total\{kind="route-2",code="3002"\} 1/);
});

test('a request after a change of the rules: its story has their version, and the log their source', async () => {
  mesh.putRules(2, [{ path: '/other/', service: 'back' }]);
  let sent = 0;
  await waitUntil(async () => {
    sent += 1;
    const attemptId = `gone-${sent}`;
    return (await mesh.send(caller, { path: '/read/3', attemptId })).status === 404;
  });
  const story = await storyOf(`gone-${sent}`);
  assert.match(story, /caller {2}RequestRefused {2}gone-\d+ .*rules=2 .*code=1002/);
  assert.match(grepEvent('caller', 200).at(-1) ?? '', /"source":"(store|peer)","version":2/);
});

test("a request to a target that left: its story has the refusal, and the target's sidecar logs the leave", async () => {
  assert.equal(await backEnd.target.leave(backEnd.registration), 200);
  await waitUntil(() => grepEvent('caller', 604).some((line) => line.includes('leaving')));
  const answer = await mesh.send(caller, { path: '/other/1', attemptId: 'left' });
  assert.equal(answer.status, 503);
  assert.match(await storyOf('left'), /caller {2}RequestRefused {2}left .*code=2008/);
  assert.match(grepEvent('back', 406).at(-1) ?? '', /"state":"leaving"/);
});

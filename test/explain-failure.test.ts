/**
 * From the id of a failed request to its cause, with the commands of docs/OPERATIONS.md and the
 * lines that nodes write at their default level.
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
/** More than a warm-up can write, so that no line is left out. */
const MAX_LINES_PER_SECOND = 1_000;

const written = new Map<string, string[]>();
let directory: string;
let mesh: Mesh;
let caller: Machine;
let back: Machine;

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
  back = await mesh.add({ ...options, service: 'back', slots: 1 }, logOf('back'));
  await mesh.beatAll();
  await mesh.sendUntil(caller, { path: '/read/warm' }, ({ status }) => status === 200);
});
after(async () => {
  await mesh.stop();
  rmSync(directory, { recursive: true });
});

/** The log of a node as it is by default, kept line by line. */
function logOf(node: string): EventLog {
  const lines: string[] = [];
  written.set(node, lines);
  const destination = { write: (line: string) => lines.push(line) };
  const log = createEventLogTo(destination, DEFAULT_LEVEL, { node });
  return new BoundedEventLog(log, systemClock, MAX_LINES_PER_SECOND);
}

/** `sillshore story ID FILE...` over the logs of all nodes. */
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

test('a request refused under load: code, the nodes asked and the rules are in its story', async () => {
  const held: (() => void)[] = [];
  back.target.behaviour = ({ attemptId }, response) => {
    held.push(() => response.writeHead(200, { 'X-Attempt-Id': attemptId }).end());
    return true;
  };
  const holder = mesh.send(caller, { path: '/read/1', attemptId: 'holder' });
  await waitUntil(() => held.length === 1);
  const refused = { path: '/read/2', attemptId: 'refused', deadlineMs: 150 };
  const answer = await mesh.send(caller, refused);
  held[0]!();
  await holder;
  back.target.behaviour = () => false;
  assert.equal(answer.status, 503);
  const story = await storyOf('refused');
  assert.match(
    story,
    /caller {2}RequestRefused {2}refused .*rules=1 tried=node-2 .*execution=not-run/,
  );
  assert.match(await metricsOf(caller), /sillshore_requests_total\{kind="route-1",code="[1-9]/);
});

test('a request with unknown outcome: the node beside the target says what became of it', async () => {
  back.target.behaviour = ({ attemptId }, response) => {
    if (attemptId !== 'unknown') return false;
    response.socket?.destroy();
    return true;
  };
  const request = { method: 'POST', path: '/write/1', attemptId: 'unknown' };
  const answer = await mesh.send(caller, request);
  back.target.behaviour = () => false;
  assert.equal(answer.status, 502);
  const [attempt, end] = (await storyOf('unknown')).trim().split('\n');
  assert.match(attempt ?? '', /^back {2}AttemptFailed {2}unknown .*outcome=failed code=3002/);
  assert.match(end ?? '', /^caller {2}RequestFailed {2}unknown .*execution=unknown/);
  assert.match(await metricsOf(caller), /sillshore_requests_total\{kind="route-2",code="3002"\} 1/);
});

test('a request after a change of the rules: version in its story, and where it came from', async () => {
  mesh.putRules(2, [{ path: '/other/', service: 'back' }]);
  let asked = 0;
  await waitUntil(async () => {
    asked += 1;
    const attemptId = `gone-${asked}`;
    return (await mesh.send(caller, { path: '/read/3', attemptId })).status === 404;
  });
  const story = await storyOf(`gone-${asked}`);
  assert.match(story, /caller {2}RequestRefused {2}gone-\d+ .*rules=2 .*code=1002/);
  assert.match(grepEvent('caller', 200).at(-1) ?? '', /"source":"(store|peer)","version":2/);
});

test('a request to a target that left: its refusal, and the leave at the node beside it', async () => {
  assert.equal(await back.target.leave(back.registration), 200);
  await waitUntil(() => grepEvent('caller', 604).some((line) => line.includes('leaving')));
  const answer = await mesh.send(caller, { path: '/other/1', attemptId: 'left' });
  assert.equal(answer.status, 503);
  assert.match(await storyOf('left'), /caller {2}RequestRefused {2}left .*code=2008/);
  assert.match(grepEvent('back', 406).at(-1) ?? '', /"state":"leaving"/);
});

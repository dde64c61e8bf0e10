import assert from 'node:assert/strict';
import { spawn, type ChildProcessWithoutNullStreams } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { text } from 'node:stream/consumers';
import { mock, test } from 'node:test';
import { Event, EVENTS } from './event.js';
import { DelayedFlush } from './line-output.js';

test('docs/EVENTS.md has one row for each event and no other rows', () => {
  const page = readFileSync('docs/EVENTS.md', 'utf8');
  const rows = page.split('\n').filter((line) => /^\| \d+ \|/.test(line));
  const expected = Object.entries(EVENTS).map(
    ([number, [level, text]]) => `| ${number} | ${Event[Number(number)]} | ${level} | ${text} |`,
  );
  assert.deepEqual(rows, expected);
});

/** Starts a process that runs the script `steps` with an event log on its standard output. */
function startLogger(steps: string): ChildProcessWithoutNullStreams {
  const module = new URL('./event.js', import.meta.url).href;
  const script = `
    import { createPinoEventLog, Event, LogStream } from '${module}';
    const log = createPinoEventLog('info', {}, LogStream.Output);
    ${steps}`;
  return spawn(process.execPath, ['--input-type=module', '-e', script]);
}

test('buffered lines are written when the process exits', async () => {
  const child = startLogger('log.emit(Event.NodeStarted); log.emit(Event.NodeStopped);');
  const lines = (await text(child.stdout)).trim().split('\n');
  assert.deepEqual(
    lines.map((line) => (JSON.parse(line) as { event: number }).event),
    [Event.NodeStarted, Event.NodeStopped],
  );
});

test('lines that nobody reads are left out and counted; the process does not wait', async () => {
  const child = startLogger(`
    for (let index = 0; index < 20_000; index += 1) {
      log.emit(Event.NodeStarted, { filler: 'x'.repeat(100) });
    }
    process.stderr.write('done');
    process.stdin.on('end', () => process.exit()).resume();`);
  await once(child.stderr, 'data');
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => {
    output += chunk.toString();
    if (output.includes('"notRead":')) child.stdin.end();
  });
  await once(child, 'close');
  const written = output.trim().split('\n').length - 1;
  const leftOut = Number(/"notRead":(\d+)/.exec(output)?.[1]);
  assert.ok(leftOut > 0);
  assert.equal(written + leftOut, 20_000);
});

test('a line logged during a long write is written after it, not with the next line', async () => {
  const child = startLogger(`
    log.emit(Event.NodeStarted, { detail: 'x'.repeat(300_000) });
    setTimeout(() => log.emit(Event.NodeStopped), 300);
    setTimeout(() => process.exit(), 8_000);`);
  // Nobody reads while the first line is being written and the second is buffered and flushed.
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  let received = '';
  child.stdout.on('data', (chunk: Buffer) => {
    received += String(chunk);
  });
  const end = performance.now() + 4_000;
  while (!received.includes('"event":102') && performance.now() < end) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  const wasRunning = child.exitCode === null;
  child.kill();
  assert.ok(received.includes('"event":102') && wasRunning);
});

test('a flush runs 250 ms after the first request, and no timer runs without a request', () => {
  mock.timers.enable({ apis: ['setTimeout'] });
  try {
    let flushes = 0;
    const delayed = new DelayedFlush(() => {
      flushes += 1;
    });
    mock.timers.tick(10_000);
    assert.equal(flushes, 0);
    for (let count = 0; count < 3; count += 1) delayed.request();
    mock.timers.tick(249);
    assert.equal(flushes, 0);
    mock.timers.tick(1);
    mock.timers.tick(10_000);
    assert.equal(flushes, 1);
    delayed.request();
    mock.timers.tick(250);
    assert.equal(flushes, 2);
  } finally {
    mock.timers.reset();
  }
});

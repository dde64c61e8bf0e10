import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { test } from 'node:test';
import { createTestSettings } from '../../test/support/test-admin.js';
import { ManualClock } from '../kernel/clock.js';
import { silentEventLog } from '../kernel/event.js';
import type { KernelControl } from '../kernel/kernel-control.js';
import type { Plugin } from '../kernel/plugin.js';
import { Token } from '../kernel/token.js';
import type { RunOutcome } from '../kernel/run-kernel.js';
import { runNode } from './run-node.js';

/** A node with one plug-in whose drain ends when the test calls `endDrain`. */
class Run {
  readonly clock = new ManualClock();
  readonly signals = new EventEmitter();
  readonly steps: string[] = [];
  endDrain: () => void = () => {};
  kernel: KernelControl | undefined;
  readonly end: Promise<RunOutcome>;

  constructor(startFails = false, signalDuringStart = false, startMs = 0) {
    const plugin: Plugin = {
      name: 'test',
      order: 1,
      bind: (container) => {
        this.kernel = container.get(Token.Kernel);
      },
      start: () => {
        this.steps.push('start');
        if (signalDuringStart) this.signals.emit('SIGTERM');
        this.clock.advance(startMs);
        return startFails ? Promise.reject(new Error('start')) : Promise.resolve();
      },
      drain: () => {
        this.steps.push('drain');
        return new Promise((resolve) => {
          this.endDrain = resolve;
        });
      },
      stop: () => {
        this.steps.push('stop');
        return Promise.resolve();
      },
    };
    const options = { clock: this.clock, log: silentEventLog, plugins: [plugin] };
    this.end = runNode(createTestSettings(), options, this.signals);
  }

  /** Waits until pending callbacks have run. */
  async settle(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

for (const signal of ['SIGTERM', 'SIGINT']) {
  test(`${signal} starts a planned stop that waits for the drain`, async () => {
    const run = new Run();
    await run.settle();
    run.signals.emit(signal);
    await run.settle();
    assert.deepEqual(run.steps, ['start', 'drain']);
    run.endDrain();
    assert.equal(await run.end, 'stopped');
    assert.deepEqual(run.steps, ['start', 'drain', 'stop']);
    assert.equal(run.signals.listenerCount(signal), 0);
  });
}

test("an operator's drain command starts a planned stop, and SIGINT cuts it short", async () => {
  const run = new Run();
  await run.settle();
  run.kernel?.requestStop();
  await run.settle();
  assert.deepEqual(run.steps, ['start', 'drain']);
  run.signals.emit('SIGTERM');
  await run.settle();
  assert.deepEqual(run.steps, ['start', 'drain']);
  run.signals.emit('SIGINT');
  assert.equal(await run.end, 'cut-short');
  assert.deepEqual(run.steps, ['start', 'drain', 'stop']);
});

test('SIGINT after a stop signal stops at once', async () => {
  const run = new Run();
  await run.settle();
  run.signals.emit('SIGTERM');
  await run.settle();
  run.signals.emit('SIGINT');
  assert.equal(await run.end, 'cut-short');
});

for (const first of ['SIGTERM', 'SIGINT']) {
  test(`SIGTERM after ${first} changes neither the drain nor its time limit`, async () => {
    const run = new Run();
    await run.settle();
    run.signals.emit(first);
    await run.settle();
    run.clock.advance(createTestSettings().stopTimeoutMs - 1);
    for (let count = 0; count < 3; count += 1) run.signals.emit('SIGTERM');
    await run.settle();
    assert.deepEqual(run.steps, ['start', 'drain']);
    run.clock.advance(1);
    assert.equal(await run.end, 'cut-short');
    assert.deepEqual(run.steps, ['start', 'drain', 'stop']);
  });
}

test('a drain that does not end is cut short at stopTimeoutMs', async () => {
  const run = new Run();
  await run.settle();
  run.signals.emit('SIGTERM');
  await run.settle();
  run.clock.advance(createTestSettings().stopTimeoutMs - 1);
  await run.settle();
  assert.deepEqual(run.steps, ['start', 'drain']);
  run.clock.advance(1);
  assert.equal(await run.end, 'cut-short');
});

test('a signal during the start is not lost', async () => {
  const run = new Run(false, true);
  await run.settle();
  run.endDrain();
  assert.equal(await run.end, 'stopped');
});

test('the time limit of a stop counts from its signal, also from one during the start', async () => {
  const run = new Run(false, true, 5_000);
  await run.settle();
  run.clock.advance(createTestSettings().stopTimeoutMs - 5_001);
  await run.settle();
  assert.deepEqual(run.steps, ['start', 'drain']);
  run.clock.advance(1);
  assert.equal(await run.end, 'cut-short');
});

test('a failed start ends the run', async () => {
  const run = new Run(true);
  assert.equal(await run.end, 'start-failed');
  assert.equal(run.signals.listenerCount('SIGTERM'), 0);
  assert.deepEqual(run.steps, ['start', 'stop']);
});

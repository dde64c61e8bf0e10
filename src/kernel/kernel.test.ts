import assert from 'node:assert/strict';
import { test } from 'node:test';
import { validateSettings, type Settings } from '../config/settings.js';
import { ManualClock } from './clock.js';
import { Event, type EventFields, type EventLog } from './event.js';
import { Kernel, MIN_DRAIN_MS } from './kernel.js';
import type { Plugin } from './plugin.js';
import { Token } from './token.js';

function createSettings(): Settings {
  return validateSettings({
    node: { id: 'a1', zone: 'zone-a', region: 'recife' },
    listen: { entry: '127.0.0.1:0', admin: '127.0.0.1:0', peer: '127.0.0.1:0' },
    platform: { keyValue: ['http://127.0.0.1:1'], machines: 'http://127.0.0.1:1/machines' },
    peers: { sharedKey: '0123456789abcdef' },
    admin: { token: 'operator-token' },
  }).unwrapOrElse((failure) => assert.fail(JSON.stringify(failure)));
}

type Step = 'start' | 'drain' | 'stop';

/** Records each life-cycle step of its plug-ins; steps named in `failing` reject. */
class Recorder implements EventLog {
  readonly steps: string[] = [];
  readonly events: (readonly [Event, EventFields])[] = [];

  constructor(private readonly failing: readonly string[] = []) {}

  emit(event: Event, fields: EventFields = {}): void {
    this.events.push([event, fields]);
  }

  plugin(name: string, order: number): Plugin {
    const step = (kind: Step) => (): Promise<void> => {
      const label = `${kind} ${name}`;
      this.steps.push(label);
      return this.failing.includes(label) ? Promise.reject(new Error(label)) : Promise.resolve();
    };
    const bind = (): void => {
      this.steps.push(`bind ${name}`);
    };
    return { name, order, bind, start: step('start'), drain: step('drain'), stop: step('stop') };
  }

  kernel(): Kernel {
    const plugins = ['a', 'b', 'c'].map((name, index) => this.plugin(name, index));
    return new Kernel({
      settings: createSettings(),
      clock: new ManualClock(),
      log: this,
      plugins,
    });
  }

  internalErrors(): unknown[] {
    return this.events
      .filter(([event]) => event === Event.InternalError)
      .map(([, fields]) => fields['plugin']);
  }
}

const BOUND = ['bind a', 'bind b', 'bind c'];
const STARTED = [...BOUND, 'start a', 'start b', 'start c'];

test('every plug-in is bound before the first one starts', async () => {
  const recorder = new Recorder();
  await recorder.kernel().start();
  assert.deepEqual(recorder.steps, STARTED);
  assert.deepEqual(recorder.events, [[Event.NodeStarted, {}]]);
});

test('the kernel binds settings, clock, log and itself', () => {
  const recorder = new Recorder();
  const kernel = recorder.kernel();
  assert.equal(kernel.container.get(Token.Kernel), kernel);
  assert.equal(kernel.container.get(Token.Settings).node.id, 'a1');
  assert.equal(kernel.container.get(Token.EventLog), recorder);
  assert.ok(kernel.container.get(Token.Clock) instanceof ManualClock);
});

test('a failed start stops the plug-ins started so far, in reverse order, and rejects', async () => {
  const recorder = new Recorder(['start b']);
  const kernel = recorder.kernel();
  await assert.rejects(kernel.start(), /start b/);
  assert.deepEqual(recorder.steps, [...BOUND, 'start a', 'start b', 'stop b', 'stop a']);
  assert.ok(!recorder.events.some(([event]) => event === Event.NodeStarted));
});

const DRAINED_AND_STOPPED = ['drain c', 'drain b', 'drain a', 'stop c', 'stop b', 'stop a'];
const planned = [
  { name: 'nothing fails', failing: [], errors: [] },
  { name: 'a drain fails', failing: ['drain b'], errors: ['b'] },
  { name: 'a stop fails', failing: ['stop c'], errors: ['c'] },
  {
    name: 'everything fails',
    failing: DRAINED_AND_STOPPED,
    errors: ['c', 'b', 'a', 'c', 'b', 'a'],
  },
];
for (const { name, failing, errors } of planned) {
  test(`a planned stop drains, then stops, in reverse start order: ${name}`, async () => {
    const recorder = new Recorder(failing);
    const kernel = recorder.kernel();
    await kernel.start();
    assert.equal(await kernel.drainAndStop(), true);
    assert.deepEqual(recorder.steps, [...STARTED, ...DRAINED_AND_STOPPED]);
    assert.deepEqual(recorder.internalErrors(), errors);
    assert.equal(recorder.events.at(-1)?.[0], Event.NodeStopped);
  });
}

test('a drain is abandoned at the time limit; later ones still get a short time', async () => {
  const recorder = new Recorder();
  const clock = new ManualClock();
  const ends = new Map<string, () => void>();
  const plugins = ['a', 'b', 'c'].map((name, index): Plugin => {
    const plugin = recorder.plugin(name, index);
    const drain = async (): Promise<void> => {
      recorder.steps.push(`drain ${name}`);
      await new Promise<void>((resolve) => ends.set(name, resolve));
    };
    return { ...plugin, drain };
  });
  const kernel = new Kernel({ settings: createSettings(), clock, log: recorder, plugins });
  await kernel.start();
  const complete = kernel.drainAndStop(100);
  const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
  clock.advance(100 + MIN_DRAIN_MS);
  await settle();
  assert.deepEqual(recorder.steps.slice(-2), ['drain c', 'drain b']);
  ends.get('b')?.();
  await settle();
  clock.advance(MIN_DRAIN_MS);
  assert.equal(await complete, false);
  assert.deepEqual(recorder.steps, [...STARTED, ...DRAINED_AND_STOPPED]);
  assert.deepEqual(recorder.internalErrors(), ['c', 'a']);
});

test('a second stop does not stop plug-ins again', async () => {
  const recorder = new Recorder();
  const kernel = recorder.kernel();
  await kernel.start();
  await Promise.all([kernel.stop(), kernel.stop()]);
  assert.deepEqual(recorder.steps, [...STARTED, 'stop c', 'stop b', 'stop a']);
});

test('a stop that a plug-in requests twice resolves once and shows as draining', async () => {
  const kernel = new Recorder().kernel();
  assert.equal(kernel.draining, false);
  kernel.requestStop();
  kernel.requestStop();
  await kernel.stopRequested;
  assert.equal(kernel.draining, true);
});

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { ManualClock } from './clock.js';
import { Event, type EventLog } from './event.js';
import { listenOn, PortBinder } from './port-binder.js';

const TIMEOUT_MS = 1_000;

function createBinder(): {
  readonly binder: PortBinder;
  readonly clock: ManualClock;
  readonly events: Event[];
  readonly stop: () => void;
} {
  const clock = new ManualClock();
  const events: Event[] = [];
  const log: EventLog = { emit: (event) => void events.push(event) };
  let stopping = false;
  const isStopping = (): boolean => stopping;
  const binder = new PortBinder({ clock, log, timeoutMs: TIMEOUT_MS, isStopping });
  return { binder, clock, events, stop: () => (stopping = true) };
}

function taken(code = 'EADDRINUSE'): Error {
  return Object.assign(new Error(`listen ${code}`), { code });
}

/** Lets the binder try again until its promise is settled. */
async function settle(bound: Promise<unknown>, clock: ManualClock): Promise<void> {
  let isSettled = false;
  bound.catch(() => undefined).finally(() => (isSettled = true));
  while (!isSettled) {
    await new Promise((resolve) => setImmediate(resolve));
    clock.advance(100);
  }
}

test('a port that is taken for a moment is bound when it is free', async () => {
  const { binder, clock, events } = createBinder();
  let attempts = 0;
  const bound = binder.bind('entry', () => {
    attempts += 1;
    return attempts < 3 ? Promise.reject(taken()) : Promise.resolve(attempts);
  });
  await settle(bound, clock);
  assert.equal(await bound, 3);
  assert.deepEqual(events, [Event.PortTaken, Event.PortBound]);
  assert.deepEqual([...binder.failedAttempts], [['entry', 2]]);
});

test('a port that stays taken fails the start after the time limit', async () => {
  const { binder, clock } = createBinder();
  const startedAt = clock.now();
  const bound = binder.bind('entry', () => Promise.reject(taken()));
  await settle(bound, clock);
  await assert.rejects(bound, /EADDRINUSE/);
  assert.ok(clock.now() - startedAt >= TIMEOUT_MS);
});

test('an address that may not be bound fails the start at once', async () => {
  const { binder, events } = createBinder();
  const denied = binder.bind('entry', () => Promise.reject(taken('EACCES')));
  await assert.rejects(denied, /EACCES/);
  assert.deepEqual(events, []);
});

test('a process that stops does not wait for a port', async () => {
  const { binder, stop } = createBinder();
  stop();
  await assert.rejects(
    binder.bind('entry', () => Promise.reject(taken())),
    /EADDRINUSE/,
  );
});

test('a server listens after a failed attempt at the same port', async () => {
  const holder = createServer().listen(0, '127.0.0.1');
  await once(holder, 'listening');
  const { port } = holder.address() as AddressInfo;
  const server = createServer();
  await assert.rejects(listenOn(server, '127.0.0.1', port), /EADDRINUSE/);
  holder.close();
  await once(holder, 'close');
  assert.equal(await listenOn(server, '127.0.0.1', port), port);
  server.close();
});

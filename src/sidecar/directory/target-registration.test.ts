import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Departure, Heartbeat } from '../platform-adapter.js';
import { TargetRegistration } from './target-registration.js';

const ADDRESS = '10.0.0.1:80';

function heartbeat(overrides: Partial<Heartbeat> = {}): Heartbeat {
  return {
    type: 'heartbeat',
    targetId: 'i-1',
    address: ADDRESS,
    service: 'guide',
    zone: 'z',
    slots: 8,
    state: 'ready',
    sequence: 1,
    warmUpMs: 0,
    ...overrides,
  };
}

function departure(targetId: string, startedAt?: number): Departure {
  return { type: 'departure', targetId, ...(startedAt === undefined ? {} : { startedAt }) };
}

function create(): TargetRegistration {
  return new TargetRegistration('guide', ADDRESS);
}

test('accepts the first report of a target', () => {
  const registration = create();
  assert.equal(registration.onHeartbeat(0, heartbeat({ warmUpMs: 500 }), false), 'accepted');
  const expected = { id: 'i-1', state: 'ready', slots: 8, warmUntil: 500 };
  assert.deepEqual(registration.current, expected);
});

test('reports of another service or address are foreign', () => {
  const registration = create();
  assert.equal(registration.onHeartbeat(0, heartbeat({ service: 'other' }), false), 'foreign');
  assert.equal(
    registration.onHeartbeat(0, heartbeat({ address: '10.0.0.2:80' }), false),
    'foreign',
  );
  assert.equal(registration.current, undefined);
});

test('a late report changes nothing', () => {
  const registration = create();
  registration.onHeartbeat(0, heartbeat({ sequence: 5 }), false);
  assert.equal(
    registration.onHeartbeat(1, heartbeat({ sequence: 4, slots: 99 }), false),
    'outdated',
  );
  assert.equal(registration.current?.slots, 8);
});

test('leaving is final for an incarnation, in whatever order reports arrive', () => {
  const registration = create();
  registration.onHeartbeat(0, heartbeat({ sequence: 9 }), false);
  registration.onHeartbeat(1, heartbeat({ sequence: 7, state: 'draining' }), false);
  assert.equal(registration.current?.state, 'leaving');
  registration.onHeartbeat(2, heartbeat({ sequence: 10 }), false);
  assert.equal(registration.current?.state, 'leaving');
});

test('a target that departs without draining is leaving', () => {
  const registration = create();
  registration.onHeartbeat(0, heartbeat(), false);
  assert.equal(registration.onDeparture(departure('i-1')), 'accepted');
  assert.equal(registration.current?.state, 'leaving');
  assert.equal(registration.onDeparture(departure('i-9')), 'foreign');
});

test('accepts another incarnation once it is confirmed, and then never its predecessor', () => {
  const registration = create();
  registration.onHeartbeat(0, heartbeat(), false);
  const next = heartbeat({ targetId: 'i-2' });
  assert.equal(registration.onHeartbeat(1, next, false), 'unconfirmed');
  assert.equal(registration.current?.id, 'i-1');
  assert.equal(registration.onHeartbeat(2, next, true), 'accepted');
  assert.equal(registration.onHeartbeat(3, heartbeat({ sequence: 99 }), true), 'outdated');
  assert.equal(registration.current?.id, 'i-2');
});

test('rejects a late report of a target whose leaving an earlier process acknowledged', () => {
  const registration = create();
  registration.restoreLeft({ id: 'i-1' });
  assert.equal(registration.onHeartbeat(0, heartbeat({ sequence: 3 }), false), 'outdated');
  assert.equal(registration.current, undefined);
  assert.equal(registration.onHeartbeat(1, heartbeat({ targetId: 'i-2' }), false), 'accepted');
});

test('discards a target that answered with another id until it reports', () => {
  const registration = create();
  registration.onHeartbeat(0, heartbeat(), false);
  registration.discard('i-1');
  assert.equal(registration.current, undefined);
  assert.equal(registration.onHeartbeat(1, heartbeat({ sequence: 2 }), false), 'outdated');
  assert.equal(registration.onHeartbeat(2, heartbeat({ targetId: 'i-2' }), false), 'accepted');
});

test('a target that restarts under its id is a new incarnation with a new sequence', () => {
  const registration = create();
  registration.onHeartbeat(0, heartbeat({ startedAt: 100, sequence: 50, slots: 8 }), false);
  const again = heartbeat({ startedAt: 200, sequence: 1, slots: 4, warmUpMs: 300 });
  assert.equal(registration.onHeartbeat(1, again, false), 'accepted');
  assert.deepEqual(registration.current, {
    ...{ id: 'i-1', startedAt: 200, state: 'ready', slots: 4, warmUntil: 301 },
  });
  assert.equal(
    registration.onHeartbeat(2, heartbeat({ startedAt: 200, sequence: 2 }), false),
    'accepted',
  );
});

test('a late report or departure of the earlier incarnation changes nothing', () => {
  const registration = create();
  registration.onHeartbeat(0, heartbeat({ startedAt: 100 }), false);
  registration.onHeartbeat(1, heartbeat({ startedAt: 200 }), false);
  const late = heartbeat({ startedAt: 100, sequence: 99, state: 'draining' });
  assert.equal(registration.onHeartbeat(2, late, true), 'outdated');
  assert.equal(registration.onDeparture(departure('i-1', 100)), 'outdated');
  assert.equal(registration.current?.state, 'ready');
  assert.equal(registration.onDeparture(departure('i-1', 200)), 'accepted');
  assert.equal(registration.current.state, 'leaving');
});

test('leaving holds for its own incarnation and not for a later one', () => {
  const registration = create();
  registration.onHeartbeat(0, heartbeat({ startedAt: 100 }), false);
  registration.onHeartbeat(1, heartbeat({ startedAt: 100, sequence: 2, state: 'draining' }), false);
  assert.equal(
    registration.onHeartbeat(2, heartbeat({ startedAt: 100, sequence: 3 }), false),
    'accepted',
  );
  assert.equal(registration.current?.state, 'leaving');
  assert.equal(registration.onHeartbeat(3, heartbeat({ startedAt: 200 }), false), 'accepted');
  assert.equal(registration.current.state, 'ready');
});

test('accepts the next incarnation after an earlier process acknowledged that one left', () => {
  const registration = create();
  registration.restoreLeft({ id: 'i-1', startedAt: 100 });
  assert.equal(registration.onHeartbeat(0, heartbeat({ startedAt: 100 }), false), 'outdated');
  assert.equal(registration.onHeartbeat(1, heartbeat({ startedAt: 200 }), false), 'accepted');
  assert.equal(registration.current?.state, 'ready');
});

test('a report without a start time is foreign where the target reports its start time', () => {
  const registration = create();
  registration.onHeartbeat(0, heartbeat({ startedAt: 100 }), false);
  const odd = heartbeat({ sequence: 9, state: 'draining' });
  assert.equal(registration.onHeartbeat(1, odd, false), 'foreign');
  assert.equal(registration.current?.state, 'ready');
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BoundedEventLog } from './bounded-event-log.js';
import { ManualClock } from './clock.js';
import { Event, type EventFields } from './event.js';

function create(): {
  lines: (readonly [Event, EventFields])[];
  clock: ManualClock;
  log: BoundedEventLog;
} {
  const lines: (readonly [Event, EventFields])[] = [];
  const clock = new ManualClock();
  const target = { emit: (event: Event, fields: EventFields = {}) => lines.push([event, fields]) };
  return { lines, clock, log: new BoundedEventLog(target, clock, 2) };
}

test('lines over the bound are counted, and the counts written when the second is over', () => {
  const { lines, clock, log } = create();
  for (let count = 0; count < 5; count += 1) log.emit(Event.RequestFailed);
  log.emit(Event.TargetDraining);
  assert.equal(lines.length, 2);
  clock.advance(1_000);
  log.emit(Event.TargetDraining);
  assert.deepEqual(lines.slice(2), [
    [Event.LinesLeftOut, { RequestFailed: 3, TargetDraining: 1 }],
    [Event.TargetDraining, {}],
  ]);
});

test('errors are always written', () => {
  const { lines, log } = create();
  for (let count = 0; count < 5; count += 1) log.emit(Event.InternalError);
  assert.equal(lines.length, 5);
});

import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { Event, type EventFields } from '../../kernel/event.js';
import { StatedLimitLog } from './stated-limit-log.js';

let clock: ManualClock;
let lines: (readonly [Event, EventFields | undefined])[];
let log: StatedLimitLog;

beforeEach(() => {
  clock = new ManualClock();
  lines = [];
  log = new StatedLimitLog(clock, { emit: (event, fields) => lines.push([event, fields]) });
});

test('a limit that changes with each answer gives a line a second, the last one with the last limit', () => {
  for (let limit = 1; limit <= 100; limit += 1) {
    log.onLimit('i-1', limit);
    clock.advance(10);
  }
  clock.advance(5_000);
  assert.deepEqual(lines, [
    [Event.TargetLimitChanged, { target: 'i-1', perSecond: 1 }],
    [Event.TargetLimitChanged, { target: 'i-1', perSecond: 100 }],
  ]);
});

test('the end of a limit is logged, and no line while nothing changes', () => {
  log.onLimit('i-1', undefined);
  log.onLimit('i-1', 7.300_000_190_7);
  clock.advance(2_000);
  log.onLimit('i-1', 7.300_000_190_7);
  log.onLimit('i-1', undefined);
  const limits = lines.map(([, fields]) => fields?.['perSecond']);
  assert.deepEqual(limits, [7.3, 'none']);
});

test('invalid statements give a line a second at most', () => {
  for (let count = 0; count < 150; count += 1) {
    log.onInvalid('i-1', { statement: 'request limit', value: 'x' });
    clock.advance(10);
  }
  assert.equal(lines.length, 2);
});

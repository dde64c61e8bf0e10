import assert from 'node:assert/strict';
import { test } from 'node:test';
import { backendControlSchema } from '../stand-ins/backend/backend-faults.js';
import { faultsSchema } from '../stand-ins/platform/faults.js';
import { createFaultSchedule, FAULT_KINDS } from './fault-schedule.js';

const COUNT = 200;
const DURATION_MS = 10_000;

test('the same seed gives the same schedule, another seed gives another one', () => {
  const first = createFaultSchedule(1, COUNT, DURATION_MS);
  assert.deepEqual(first, createFaultSchedule(1, COUNT, DURATION_MS));
  assert.notDeepEqual(first, createFaultSchedule(2, COUNT, DURATION_MS));
});

test('a long schedule contains every fault, in order and within the time', () => {
  const schedule = createFaultSchedule(3, COUNT, DURATION_MS);
  const names = new Set(schedule.map(({ kind }) => kind.name));
  assert.deepEqual([...names].sort(), FAULT_KINDS.map(({ name }) => name).sort());
  const times = schedule.map(({ atMs }) => atMs);
  assert.deepEqual(
    times,
    [...times].sort((a, b) => a - b),
  );
  assert.ok(times.every((time) => time >= 0 && time < DURATION_MS));
});

test('the stand-ins accept every fault', () => {
  for (const { action } of FAULT_KINDS) {
    if (action.type === 'target-fault') {
      backendControlSchema.parse(action.on);
      backendControlSchema.parse(action.off);
    }
    if (action.type === 'platform-fault') {
      faultsSchema.partial().parse(action.on);
      faultsSchema.partial().parse(action.off);
    }
  }
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeavingSigns, type HealthState } from './leaving-signs.js';

interface SignCase {
  readonly name: string;
  /** `draining-answer` is a sign from traffic; all others are health polls. */
  readonly signs: readonly (HealthState | 'draining-answer')[];
  readonly leaving: boolean;
}

const CASES: readonly SignCase[] = [
  { name: 'serving', signs: ['serving', 'serving'], leaving: false },
  { name: 'health alone', signs: ['serving', 'draining'], leaving: true },
  { name: 'traffic alone', signs: ['draining-answer'], leaving: true },
  { name: 'health lags behind traffic', signs: ['draining-answer', 'serving'], leaving: true },
  {
    name: 'health misleads for ever',
    signs: ['draining-answer', 'serving', 'serving', 'serving'],
    leaving: true,
  },
  {
    name: 'one failed poll proves no restart',
    signs: ['draining-answer', 'unreachable', 'serving'],
    leaving: true,
  },
  {
    name: 'down, then up again',
    signs: ['draining-answer', 'unreachable', 'unreachable', 'serving'],
    leaving: false,
  },
  { name: 'started again', signs: ['draining-answer', 'starting', 'serving'], leaving: false },
  {
    name: 'the drain was ended',
    signs: ['draining-answer', 'draining', 'serving'],
    leaving: false,
  },
  {
    name: 'unreachable alone is not leaving',
    signs: ['unreachable', 'unreachable'],
    leaving: false,
  },
];

for (const { name, signs, leaving } of CASES) {
  test(`signs of leaving: ${name}`, () => {
    const state = new LeavingSigns();
    for (const sign of signs) {
      if (sign === 'draining-answer') state.noteDrainingAnswer();
      else state.noteHealth(sign);
    }
    assert.equal(state.leaving, leaving);
  });
}

test('operators and other nodes make a target leave, and only own signs are reported', () => {
  const state = new LeavingSigns();
  state.setReportedByOthers(true);
  assert.deepEqual([state.leaving, state.seenHere], [true, false]);
  state.setReportedByOthers(false);
  state.setDrainedByOperator(true);
  assert.deepEqual([state.leaving, state.seenHere], [true, true]);
  state.setDrainedByOperator(false);
  assert.equal(state.leaving, false);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ResultCode } from '../../core/result-code.js';
import { LEAVING_PHASE_MS, PlannedStop, stopMarginMs } from './planned-stop.js';

const END = 5_000;

const CASES = [
  { name: 'callers do not know of the stop yet', now: 10, deadline: 60_000, refused: false },
  { name: 'sure to end before the stop does', now: 2_700, deadline: END, refused: false },
  { name: 'may last longer than the stop', now: 2_700, deadline: END + 1, refused: true },
  { name: 'the stop is over', now: END + 1, deadline: END + 100, refused: true },
];

for (const { name, now, deadline, refused } of CASES) {
  test(`a request while the node stops: ${name}`, () => {
    const stop = new PlannedStop();
    stop.begin(0, END);
    const failure = stop.check(now, deadline);
    assert.equal(failure !== undefined, refused);
    if (failure === undefined) return;
    assert.equal(failure.code, ResultCode.NodeDraining);
    assert.equal(failure.execution, 'not-run');
    assert.ok((failure.retryAfterMs ?? 0) > 0);
  });
}

test('without a stop nothing is refused', () => {
  assert.equal(new PlannedStop().check(1e9, Infinity), undefined);
});

test('a short stop leaves half of its time for requests in progress', () => {
  const stop = new PlannedStop();
  stop.begin(0, 1_000);
  assert.equal(stop.isRefusing(499), false);
  assert.equal(stop.isRefusing(500), true);
});

test('callers have the same time to leave in every stop that is long enough', () => {
  const stop = new PlannedStop();
  stop.begin(0, 60_000);
  assert.equal(stop.isRefusing(LEAVING_PHASE_MS - 1), false);
  assert.equal(stop.isRefusing(LEAVING_PHASE_MS), true);
});

test('requests in progress get five sixths of a short stop, and all but 0.8 s of a long one', () => {
  assert.deepEqual([600, 3_000, 4_800, 6_000, 60_000].map(stopMarginMs), [100, 500, 800, 800, 800]);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RepeatBudget } from './repeat-budget.js';

const OPTIONS = { ratio: 0.1, windowMs: 1_000, slack: 2 };

function spendAll(budget: RepeatBudget, now: number): number {
  let spent = 0;
  while (budget.spend(now)) spent += 1;
  return spent;
}

test('repeats are a share of the requests of the window, and the slack', () => {
  const budget = new RepeatBudget(OPTIONS);
  for (let count = 0; count < 30; count += 1) budget.noteRequest(5);
  assert.equal(spendAll(budget, 10), 5);
  assert.equal(spendAll(budget, 900), 0);
});

test('what has left the window counts no more', () => {
  const budget = new RepeatBudget(OPTIONS);
  for (let count = 0; count < 30; count += 1) budget.noteRequest(50);
  assert.equal(spendAll(budget, 60), 5);
  assert.equal(spendAll(budget, 1_150), 2);
  assert.equal(spendAll(budget, 60_000), 2);
});

test('the slack is the one that the caller names', () => {
  const budget = new RepeatBudget({ ...OPTIONS, ratio: 0 });
  assert.equal(budget.spend(0, 0.5), false);
  assert.equal(budget.spend(0, 1), true);
  assert.equal(budget.spend(0, 1), false);
});

test('in no window more repeats than allowed, whatever the times', () => {
  const budget = new RepeatBudget({ ratio: 0.2, windowMs: 1_000, slack: 3 });
  const spent: number[] = [];
  for (let now = 0; now < 5_000; now += 7) {
    if (now % 3 === 0) budget.noteRequest(now);
    if (budget.spend(now)) spent.push(now);
  }
  for (const start of spent) {
    const inWindow = spent.filter((at) => at >= start && at < start + 900).length;
    assert.ok(inWindow <= 3 + 0.2 * Math.ceil(1_000 / 21) + 1);
  }
});

test('calls of repeated runs count as repeats, and what they leave is free', () => {
  const budget = new RepeatBudget(OPTIONS);
  for (let count = 0; count < 30; count += 1) budget.noteRequest(5, count < 4);
  assert.equal(spendAll(budget, 10), 1);
  for (let count = 0; count < 10; count += 1) budget.noteRequest(20, true);
  assert.equal(spendAll(budget, 30), 0);
});

test('a part of the share is kept for the later calls of a run', () => {
  const budget = new RepeatBudget({ ...OPTIONS, slack: 0 });
  for (let count = 0; count < 100; count += 1) budget.noteRequest(5);
  let first = 0;
  while (budget.spend(10, 0, true)) first += 1;
  assert.equal(first, 6);
  assert.equal(spendAll(budget, 20), 4);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { capacityRates, goodputBound, normalConditions, slotTimes } from './capacity-bound.js';
import { readExampleDeployment } from './example-deployments.js';
import { solveLinearProgram } from './linear-program.js';

const round = (values: readonly number[]) => values.map((value) => Math.round(value * 1e6) / 1e6);

const PROGRAMS = [
  {
    name: 'one bottleneck',
    program: { objective: [1], rows: [[2]], bounds: [10] },
    expected: [5],
  },
  {
    name: 'two bottlenecks meet',
    program: {
      objective: [3, 5],
      rows: [
        [1, 0],
        [0, 2],
        [3, 2],
      ],
      bounds: [4, 12, 18],
    },
    expected: [2, 6],
  },
  {
    name: 'a weight puts one first',
    program: { objective: [100, 1], rows: [[1, 1]], bounds: [7] },
    expected: [7, 0],
  },
  {
    name: 'no capacity at all',
    program: { objective: [1, 1], rows: [[1, 1]], bounds: [0] },
    expected: [0, 0],
  },
];

for (const { name, program, expected } of PROGRAMS) {
  test(`linear program: ${name}`, () => {
    assert.deepEqual(round(solveLinearProgram(program)), expected);
  });
}

const RECIFE = readExampleDeployment('recife');
const NORMAL = normalConditions(RECIFE);

test('a slot is held during downstream calls', () => {
  const step = RECIFE.kinds.find(({ name }) => name === 'script-step')!;
  const times = [...slotTimes(RECIFE, step.root, NORMAL)].map(([service, ms]) => [
    service,
    Math.round(ms * 10) / 10,
  ]);
  assert.deepEqual(times, [
    ['recording-archive', 10],
    ['objection-answers', 30.3],
    ['script-guide', 45.6],
  ]);
});

test('the whole demand fits at capacity; above it the more critical kinds come first', () => {
  const rates = capacityRates(RECIFE);
  assert.deepEqual(round(goodputBound(RECIFE, NORMAL, rates, true)), round(rates));
  // At ten times the demand of every kind, promises (critical) leave nothing for history queries.
  const demand = rates.map((rate) => rate * 10);
  const bound = goodputBound(RECIFE, NORMAL, demand, true);
  const byName = new Map(RECIFE.kinds.map(({ name }, index) => [name, bound[index]!]));
  assert.equal(Math.round(byName.get('script-step')!), 789);
  assert.equal(Math.round(byName.get('promise-entry')!), 1_800);
  assert.equal(Math.round(byName.get('history-query')!), 0);
});

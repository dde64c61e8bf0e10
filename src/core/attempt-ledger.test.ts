/**
 * Checks the bound on attempts over random call trees, with lost messages and retries at every
 * layer.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { AttemptBudget, minimalNeed, wantedAttempts } from './attempt-budget.js';
import { AttemptLedger } from './attempt-ledger.js';

/** Services call those with a higher index, so that a graph has no cycle. */
const graphs = fc.array(fc.array(fc.integer({ min: 1, max: 4 }), { maxLength: 3 }), {
  minLength: 5,
  maxLength: 5,
});

/** Random choices of the simulation: one number per decision, used in turn. */
const decisions = fc.array(fc.integer({ min: 0, max: 99 }), { minLength: 1, maxLength: 200 });

interface Simulation {
  readonly callsOf: (service: string) => readonly string[];
  readonly ledger: AttemptLedger;
  readonly decide: () => number;
  attempts: number;
}

function createSimulation(
  graph: readonly (readonly number[])[],
  choices: readonly number[],
): Simulation {
  let next = 0;
  return {
    callsOf: (service) => {
      const index = Number(service);
      const steps = graph[index] ?? [];
      return steps.map((step) => String(index + step)).filter((name) => Number(name) < 5);
    },
    ledger: new AttemptLedger(),
    decide: () => {
      next += 1;
      return choices[next % choices.length] ?? 0;
    },
    attempts: 0,
  };
}

/** The nodes' part: retries until an answer arrives or the budget is spent; returns its use. */
function call(simulation: Simulation, service: string, total: number): number {
  const budget = new AttemptBudget(total, minimalNeed(service, simulation.callsOf));
  for (let granted = budget.grant(); granted > 0; granted = budget.grant()) {
    const used = attempt(simulation, service, granted);
    assert.ok(used >= 1 && used <= granted, `used ${used} of ${granted}`);
    const answerLost = simulation.decide() < 40;
    if (answerLost) continue;
    budget.settle(granted, used);
    if (simulation.decide() < 50) break;
  }
  assert.ok(budget.used <= total);
  return budget.used;
}

/** The back end's part: calls others, repeats calls on its own, and may lose what was returned. */
function attempt(simulation: Simulation, service: string, granted: number): number {
  simulation.attempts += 1;
  const id = `attempt-${simulation.attempts}`;
  simulation.ledger.open(id, granted);
  const callees = simulation.callsOf(service);
  for (const callee of callees) {
    const calls = 1 + (simulation.decide() % 4);
    for (let index = 0; index < calls; index += 1) callBelow(simulation, id, callees, callee);
  }
  return simulation.ledger.close(id);
}

function callBelow(
  simulation: Simulation,
  id: string,
  callees: readonly string[],
  callee: string,
): void {
  const needOf = (name: string): number => minimalNeed(name, simulation.callsOf);
  const others = callees.filter((name) => name !== callee);
  const needOfOthers = others.reduce((sum, name) => sum + needOf(name), 0);
  const left = simulation.ledger.remaining(id);
  const wanted = wantedAttempts(left, 1 + (simulation.decide() % 9), needOf(callee), needOfOthers);
  const reserved = simulation.ledger.reserve(id, wanted);
  const used = call(simulation, callee, reserved);
  const returnLost = simulation.decide() < 20;
  if (!returnLost) simulation.ledger.release(id, reserved - used);
}

test('attempts of a whole call tree never pass the bound', () => {
  const property = fc.property(
    graphs,
    decisions,
    fc.integer({ min: 1, max: 40 }),
    (graph, choices, bound) => {
      const simulation = createSimulation(graph, choices);
      const used = call(simulation, '0', bound);
      assert.ok(simulation.attempts <= bound, `${simulation.attempts} attempts, bound ${bound}`);
      assert.ok(simulation.attempts <= used, 'attempts missing from the count');
      assert.equal(simulation.ledger.size, 0);
    },
  );
  fc.assert(property, { seed: 7, numRuns: 300 });
});

test('a bound of twice the need allows another complete attempt after one lost answer', () => {
  const property = fc.property(
    fc.integer({ min: 1, max: 20 }),
    fc.integer({ min: 0, max: 100 }),
    (need, more) => {
      const budget = new AttemptBudget(2 * need + more, need);
      assert.ok(budget.grant() >= need);
      assert.ok(budget.grant() >= need);
    },
  );
  fc.assert(property, { seed: 7 });
});

test('an ended or unknown attempt grants no reservation and ignores returned attempts', () => {
  const ledger = new AttemptLedger();
  assert.equal(ledger.reserve('unknown', 3), 0);
  ledger.open('a', 4);
  assert.equal(ledger.reserve('a', 9), 3);
  assert.equal(ledger.close('a'), 4);
  ledger.release('a', 3);
  assert.equal(ledger.reserve('a', 1), 0);
});

test('the need of a subtree: one for itself plus that of its callees, cycles cut', () => {
  const calls: Record<string, readonly string[]> = {
    leaf: [],
    chain: ['middle'],
    middle: ['leaf'],
    fan: ['leaf', 'middle', 'leaf'],
    self: ['self'],
    ping: ['pong'],
    pong: ['ping'],
  };
  const needs = { leaf: 1, middle: 2, chain: 3, fan: 5, self: 2, ping: 3 };
  for (const [service, need] of Object.entries(needs)) {
    assert.equal(
      minimalNeed(service, (name) => calls[name] ?? []),
      need,
      service,
    );
  }
});

test('parallel callees each get at least their minimal need', () => {
  const cases = [
    { remaining: 2, kind: 5, need: 1, others: 1, wanted: 1 },
    { remaining: 8, kind: 5, need: 1, others: 2, wanted: 5 },
    { remaining: 1, kind: 5, need: 1, others: 1, wanted: 1 },
    { remaining: 0, kind: 5, need: 1, others: 1, wanted: 0 },
    { remaining: 6, kind: 9, need: 2, others: 3, wanted: 3 },
  ];
  for (const { remaining, kind, need, others, wanted } of cases) {
    assert.equal(wantedAttempts(remaining, kind, need, others), wanted);
  }
});

/** Bound on attempts over random call trees, with losses and retries at every layer. */
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

/** How the world decides: one number per decision, used in turn. */
const decisions = fc.array(fc.integer({ min: 0, max: 99 }), { minLength: 1, maxLength: 200 });

interface World {
  readonly callsOf: (service: string) => readonly string[];
  readonly ledger: AttemptLedger;
  readonly decide: () => number;
  attempts: number;
}

function createWorld(graph: readonly (readonly number[])[], choices: readonly number[]): World {
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

/** The nodes' part: tries until an answer comes or nothing is left. Returns attempts used. */
function call(world: World, service: string, total: number): number {
  const budget = new AttemptBudget(total, minimalNeed(service, world.callsOf));
  for (let granted = budget.grant(); granted > 0; granted = budget.grant()) {
    const used = attempt(world, service, granted);
    assert.ok(used >= 1 && used <= granted, `used ${used} of ${granted}`);
    const answerLost = world.decide() < 40;
    if (answerLost) continue;
    budget.settle(granted, used);
    if (world.decide() < 50) break;
  }
  assert.ok(budget.used <= total);
  return budget.used;
}

/** The back end's part: calls others, repeats by itself, and may drop what it was told. */
function attempt(world: World, service: string, granted: number): number {
  world.attempts += 1;
  const id = `attempt-${world.attempts}`;
  world.ledger.open(id, granted);
  const callees = world.callsOf(service);
  for (const callee of callees) {
    const repeats = 1 + (world.decide() % 4);
    for (let repeat = 0; repeat < repeats; repeat += 1) callBelow(world, id, callees, callee);
  }
  return world.ledger.close(id);
}

function callBelow(world: World, id: string, callees: readonly string[], callee: string): void {
  const needOf = (name: string): number => minimalNeed(name, world.callsOf);
  const others = callees.filter((name) => name !== callee);
  const needOfOthers = others.reduce((sum, name) => sum + needOf(name), 0);
  const left = world.ledger.remaining(id);
  const wanted = wantedAttempts(left, 1 + (world.decide() % 9), needOf(callee), needOfOthers);
  const reserved = world.ledger.reserve(id, wanted);
  const used = call(world, callee, reserved);
  const returnLost = world.decide() < 20;
  if (!returnLost) world.ledger.giveBack(id, reserved - used);
}

test('attempts of a whole call tree never pass the bound', () => {
  const property = fc.property(
    graphs,
    decisions,
    fc.integer({ min: 1, max: 40 }),
    (graph, choices, bound) => {
      const world = createWorld(graph, choices);
      const used = call(world, '0', bound);
      assert.ok(world.attempts <= bound, `${world.attempts} attempts, bound ${bound}`);
      assert.ok(world.attempts <= used, 'attempts that nobody counted');
      assert.equal(world.ledger.size, 0);
    },
  );
  fc.assert(property, { seed: 7, numRuns: 300 });
});

test('one lost answer leaves enough for another whole try when the bound is twice the need', () => {
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

test('an ended or unknown attempt gives nothing, and takes nothing back', () => {
  const ledger = new AttemptLedger();
  assert.equal(ledger.reserve('unknown', 3), 0);
  ledger.open('a', 4);
  assert.equal(ledger.reserve('a', 9), 3);
  assert.equal(ledger.close('a'), 4);
  ledger.giveBack('a', 3);
  assert.equal(ledger.reserve('a', 1), 0);
});

test('the need of a subtree: itself and what it calls, cycles cut', () => {
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

test('parallel callees each get what they need at the least', () => {
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

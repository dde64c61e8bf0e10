/** Who yields when the buffers of unfinished bodies are spent. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ByteBudget } from '../byte-budget.js';
import { UnfinishedBodies, type BodyEnd, type UnfinishedBody } from './unfinished-bodies.js';

const BUDGET_BYTES = 100;

interface Harness {
  readonly bodies: UnfinishedBodies;
  readonly budget: ByteBudget;
  readonly ends: [string, BodyEnd][];
  open(name: string, dueAt?: number): UnfinishedBody;
}

function createHarness(): Harness {
  const budget = new ByteBudget(BUDGET_BYTES);
  const bodies = new UnfinishedBodies(budget);
  const ends: [string, BodyEnd][] = [];
  const open = (name: string, dueAt = 1_000): UnfinishedBody => {
    const reservation = bodies.reserve();
    return bodies.open(reservation, dueAt, (end) => {
      reservation.release();
      ends.push([name, end]);
    });
  };
  return { bodies, budget, ends, open };
}

test('the largest unfinished body yields to a smaller one', () => {
  const { open, ends, budget } = createHarness();
  assert.ok(open('medium').cover(30));
  assert.ok(open('large').cover(70));
  const small = open('small');
  assert.ok(small.cover(20));
  assert.deepEqual(ends, [['large', 'yielded']]);
  assert.equal(budget.used, 50);
});

test('a larger unfinished body yields to one that is whole', () => {
  const { bodies, open, ends, budget } = createHarness();
  assert.ok(open('large').cover(70));
  assert.ok(open('small').cover(30));
  assert.equal(bodies.tryReserve(80), undefined);
  const whole = bodies.tryReserve(50);
  assert.deepEqual(ends, [['large', 'yielded']]);
  whole?.release();
  assert.equal(budget.used, 30);
});

test('a body that is the largest itself gets no more', () => {
  const { open, ends } = createHarness();
  assert.ok(open('other').cover(60));
  const large = open('large');
  assert.ok(large.cover(40));
  assert.equal(large.cover(61), false);
  assert.deepEqual(ends, []);
});

test('a body that is whole does not yield', () => {
  const { open, ends } = createHarness();
  const whole = open('whole');
  assert.ok(whole.cover(90));
  whole.finish();
  assert.equal(open('small').cover(20), false);
  assert.deepEqual(ends, []);
});

test('bodies end when they are overdue and not before', () => {
  const { open, bodies, ends } = createHarness();
  open('early', 10);
  open('late', 20);
  bodies.expire(9);
  assert.deepEqual(ends, []);
  bodies.expire(10);
  assert.deepEqual(ends, [['early', 'late']]);
  assert.equal(bodies.count, 1);
});

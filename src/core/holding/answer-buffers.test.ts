import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ByteBudget } from '../byte-budget.js';
import { precedingBuffers, yieldingBuffers } from './answer-buffers.js';
import { UnfinishedBodies } from './unfinished-bodies.js';

const LIMIT = 100;

function createAccount(): { readonly budget: ByteBudget; readonly bodies: UnfinishedBodies } {
  const budget = new ByteBudget(LIMIT);
  return { budget, bodies: new UnfinishedBodies(budget) };
}

test('the largest answer of a target yields to a smaller one and to the body of a request', () => {
  const { budget, bodies } = createAccount();
  const open = yieldingBuffers(bodies);
  const yielded: string[] = [];
  const large = open(() => {
    yielded.push('large');
    large.release();
  });
  assert.ok(large.cover(90));
  const small = open(() => yielded.push('small'));
  assert.ok(small.cover(20));
  assert.deepEqual(yielded, ['large']);
  assert.ok(bodies.tryReserve(80) !== undefined);
  assert.equal(budget.used, 100);
  assert.ok(!small.cover(30), 'no larger body is left that could yield');
});

test('answers that precede requests take buffers from them and do not yield', () => {
  const { budget, bodies } = createAccount();
  const store = precedingBuffers(bodies)(() => assert.fail('yielded'));
  assert.ok(store.cover(LIMIT + 50));
  assert.equal(bodies.tryReserve(1), undefined);
  store.release();
  store.release();
  assert.equal(budget.used, 0);
});

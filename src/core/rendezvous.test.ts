import assert from 'node:assert/strict';
import { test } from 'node:test';
import { rankNodes } from './rendezvous.js';

const NODES = ['a', 'b', 'c', 'd', 'e'];
const KEYS = Array.from({ length: 50 }, (_, index) => `key ${index}`);

test('the order does not depend on the order of the list', () => {
  for (const key of KEYS)
    assert.deepEqual(rankNodes(key, NODES), rankNodes(key, NODES.toReversed()));
});

test('removing a node moves only its own keys', () => {
  const left = NODES.slice(1);
  for (const key of KEYS) {
    const [first] = rankNodes(key, NODES);
    if (first !== NODES[0]) assert.equal(rankNodes(key, left)[0], first);
  }
});

test('every node is responsible for some keys', () => {
  const first = new Set(KEYS.map((key) => rankNodes(key, NODES)[0]));
  assert.equal(first.size, NODES.length);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createMember } from '../../test/support/test-admin.js';
import { computeInForce } from './in-force.js';

test('a zone counts its nodes, those in force, and its lowest version', () => {
  const members = [
    createMember('b1', 'zone-b', { configVersion: 6 }),
    createMember('a1', 'zone-a', { configVersion: 7 }),
    createMember('a2', 'zone-a', { configVersion: 9 }),
    createMember('b2', 'zone-b', { configVersion: 7 }),
  ];
  assert.deepEqual(computeInForce(7, members).zones, [
    { zone: 'zone-a', nodes: 2, nodesInForce: 2, lowestVersion: 7 },
    { zone: 'zone-b', nodes: 2, nodesInForce: 1, lowestVersion: 6 },
  ]);
});

test('a node that is not ready does not count, and a zone with only such nodes has none', () => {
  const members = [
    createMember('a1', 'zone-a', { configVersion: 7 }),
    createMember('a2', 'zone-a', { configVersion: 0, ready: false }),
    createMember('b1', 'zone-b', { configVersion: 9, ready: false }),
  ];
  const { zones, nodes } = computeInForce(7, members);
  assert.deepEqual(zones, [
    { zone: 'zone-a', nodes: 1, nodesInForce: 1, lowestVersion: 7 },
    { zone: 'zone-b', nodes: 0, nodesInForce: 0, lowestVersion: 0 },
  ]);
  assert.deepEqual(
    nodes.map(({ node }) => node),
    ['a1'],
  );
});

test('without members the result is empty', () => {
  assert.deepEqual(computeInForce(1, []), { zones: [], nodes: [] });
});

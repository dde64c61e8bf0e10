import assert from 'node:assert/strict';
import { test } from 'node:test';
import { reservePorts } from './free-ports.js';

const COUNT = 40;

test('concurrent reservations get different ports', async () => {
  const all = await Promise.all([1, 2, 3, 4].map(() => reservePorts(COUNT)));
  try {
    const ports = all.flatMap((reserved) => reserved.ports);
    assert.equal(new Set(ports).size, all.length * COUNT);
  } finally {
    for (const reserved of all) reserved.release();
  }
});

import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { Event, EVENTS } from './event.js';

test('every event has its row in docs/EVENTS.md and no other row stands there', () => {
  const page = readFileSync('docs/EVENTS.md', 'utf8');
  const rows = page.split('\n').filter((line) => /^\| \d+ \|/.test(line));
  const expected = Object.entries(EVENTS).map(
    ([number, [level, text]]) => `| ${number} | ${Event[Number(number)]} | ${level} | ${text} |`,
  );
  assert.deepEqual(rows, expected);
});

import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { RESULT_CODES, ResultCode } from './result-code.js';

test('docs/RESULT-CODES.md has one row for every result code and no other rows', () => {
  const page = readFileSync('docs/RESULT-CODES.md', 'utf8');
  const rows = page.split('\n').filter((line) => /^\| \d+ \|/.test(line));
  const expected = [...RESULT_CODES.values()].map(
    ({ code, title, httpStatus, execution }) =>
      `| ${code} | ${ResultCode[code]} | ${title} | ${httpStatus} | ${execution} |`,
  );
  assert.deepEqual(rows, expected);
});

test('every member of the enum is described', () => {
  const members = Object.values(ResultCode).filter((value) => typeof value === 'number');
  assert.deepEqual([...RESULT_CODES.keys()], members);
});

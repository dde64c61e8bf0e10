import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AnswerAllowance } from './answer-allowance.js';

const LIMITS = { maxBodyBytes: 1_000_000, maxOverheadBytes: 10_000 };
const HEAD_BYTES = 300;

/** Feeds chunks of one size; returns the first excess and the bytes of the body until then. */
function receiveChunks(chunkBytes: number, framingBytes: number, maxBytes: number): unknown {
  const allowance = new AnswerAllowance(LIMITS);
  let total = HEAD_BYTES;
  for (let body = chunkBytes; body <= maxBytes; body += chunkBytes) {
    total += chunkBytes + framingBytes;
    const excess = allowance.noteChunk(Buffer.alloc(chunkBytes)) ?? allowance.noteReceived(total);
    if (excess !== undefined) return excess;
  }
  return undefined;
}

for (const [what, chunkBytes, framingBytes, bodyBytes, expected] of [
  ['a whole body at its limit', 50_000, 8, 1_000_000, undefined],
  ['a body beyond its limit', 50_000, 8, 1_050_000, 'answer-body'],
  ['a short body in chunks of one byte', 1, 5, 250, undefined],
  ['a long body in chunks of one byte', 1, 5, 10_000, 'answer-overhead'],
  ['a body in chunks of some hundred bytes', 200, 6, 1_000_000, undefined],
  ['chunks whose framing is larger than their content', 1_000, 3_000, 500_000, 'answer-overhead'],
] as const) {
  test(`${what}: ${expected ?? 'within the limits'}`, () => {
    assert.equal(receiveChunks(chunkBytes, framingBytes, bodyBytes), expected);
  });
}

test('the values of a document are counted over its chunks, and only where it is parsed', () => {
  const chunk = Buffer.from('{"a":1,"b":[{},{}]}');
  const parsed = new AnswerAllowance({ ...LIMITS, maxValues: 12 });
  assert.equal(parsed.noteChunk(chunk), undefined);
  assert.equal(parsed.noteChunk(chunk), undefined);
  assert.equal(parsed.noteChunk(chunk), 'answer-values');
  const opaque = new AnswerAllowance(LIMITS);
  for (let count = 0; count < 100; count += 1) assert.equal(opaque.noteChunk(chunk), undefined);
});

test('interim answers and blank lines are bounded while there is no body', () => {
  const interim = new AnswerAllowance(LIMITS);
  for (let count = 0; count < 30; count += 1) interim.noteInterimAnswer();
  assert.equal(interim.noteReceived(30 * 25), undefined);
  for (let count = 0; count < 30; count += 1) interim.noteInterimAnswer();
  assert.equal(interim.noteReceived(60 * 25), 'answer-overhead');
  const blank = new AnswerAllowance(LIMITS);
  assert.equal(blank.noteReceived(10_000), undefined);
  assert.equal(blank.noteReceived(10_001), 'answer-overhead');
});

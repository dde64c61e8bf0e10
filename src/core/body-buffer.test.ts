/** Bodies that arrive in chunks of all sizes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { BodyBuffer } from './body-buffer.js';

test('the body is its chunks in their order', () => {
  const chunk = fc
    .tuple(fc.oneof(fc.nat(20), fc.nat(40_000)), fc.nat(255))
    .map(([length, byte]) => Buffer.alloc(length, byte));
  fc.assert(
    fc.property(fc.array(chunk, { maxLength: 30 }), (chunks) => {
      const buffer = new BodyBuffer();
      for (const part of chunks) buffer.append(part);
      const expected = Buffer.concat(chunks);
      return buffer.length === expected.length && buffer.take().equals(expected);
    }),
    { seed: 57, numRuns: 200 },
  );
});

test('a body of one chunk is not copied', () => {
  const buffer = new BodyBuffer();
  const chunk = Buffer.from('small');
  buffer.append(chunk);
  assert.equal(buffer.heldBytes, chunk.length);
  assert.equal(buffer.take().buffer, chunk.buffer);
});

test('chunks of one byte take little more than their bytes', () => {
  const buffer = new BodyBuffer();
  for (let index = 0; index < 100_000; index += 1) buffer.append(Buffer.from('x'));
  assert.equal(buffer.length, 100_000);
  assert.ok(buffer.heldBytes <= 120_000, String(buffer.heldBytes));
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { serialize } from 'bson';
import { ResultCode } from '../core/result-code.js';
import { FrameReader } from './frame-reader.js';

const FRAMES = [{ a: 1 }, {}, { text: 'x'.repeat(300) }, { b: Buffer.alloc(40, 7) }].map(
  (document) => Buffer.from(serialize(document)),
);
const STREAM = Buffer.concat(FRAMES);

for (const step of [1, 2, 3, 4, 5, 7, 64, 301, STREAM.length]) {
  test(`frames come out whole from chunks of ${step} bytes`, () => {
    const reader = new FrameReader(1_000);
    const frames: Buffer[] = [];
    for (let offset = 0; offset < STREAM.length; offset += step) {
      const failure = reader.read(STREAM.subarray(offset, offset + step), (frame) => {
        frames.push(Buffer.from(frame));
        return true;
      });
      assert.equal(failure, undefined);
    }
    assert.deepEqual(frames, FRAMES);
  });
}

const BAD_LENGTHS: readonly (readonly [string, number, ResultCode])[] = [
  ['larger than the limit', 1_001, ResultCode.FrameTooLarge],
  ['largest int32', 0x7fffffff, ResultCode.FrameTooLarge],
  ['zero', 0, ResultCode.FrameMalformed],
  ['negative', -1, ResultCode.FrameMalformed],
  ['smaller than an empty document', 4, ResultCode.FrameMalformed],
];

for (const [name, length, code] of BAD_LENGTHS) {
  for (const split of [1, 4]) {
    test(`a length that is ${name} is refused at once, in steps of ${split}`, () => {
      const reader = new FrameReader(1_000);
      const field = Buffer.alloc(4);
      field.writeInt32LE(length);
      let failure;
      for (let offset = 0; offset < 4; offset += split) {
        failure = reader.read(field.subarray(offset, offset + split), () => assert.fail());
      }
      assert.equal(failure?.code, code);
    });
  }
}

test('the reader stops when the listener returns false', () => {
  const reader = new FrameReader(1_000);
  let count = 0;
  reader.read(STREAM, () => {
    count += 1;
    return false;
  });
  assert.equal(count, 1);
});

/** Guards against memory taken by lengths whose bytes never come. */
test('an unfinished frame takes memory as its bytes arrive, and is passed on whole', () => {
  const length = 3_000_000;
  const bytes = Buffer.alloc(length, 7);
  bytes.writeInt32LE(length, 0);
  const reader = new FrameReader(length);
  const frames: Buffer[] = [];
  for (let offset = 0; offset < length; offset += 1_000) {
    const failure = reader.read(bytes.subarray(offset, offset + 1_000), (frame) => {
      frames.push(frame);
      return true;
    });
    assert.equal(failure, undefined);
    if (offset === 0) assert.ok(reader.heldBytes <= 300_000, String(reader.heldBytes));
  }
  assert.equal(frames.length, 1);
  assert.ok(frames[0]!.equals(bytes));
  assert.equal(reader.heldBytes, 0);
});

import assert from 'node:assert/strict';
import { afterEach, beforeEach, mock, test } from 'node:test';
import { LineOutput, type LeftOutLines, type WriteToDescriptor } from './line-output.js';

const DESCRIPTOR = 1;
const SECOND_MS = 1_000;

/** Errors of the next writes; undefined: the write succeeds. */
let errors: (string | undefined)[];
/** Most bytes that one write accepts. */
let maxBytes: number;
let written: string;
let leftOut: LeftOutLines[];
let output: LineOutput;

const writeTo: WriteToDescriptor = (_descriptor, bytes, onWritten) => {
  const code = errors.shift();
  if (code !== undefined) {
    onWritten(Object.assign(new Error(code), { code }), 0);
    return;
  }
  const accepted = bytes.subarray(0, maxBytes);
  written += accepted.toString();
  onWritten(null, accepted.length);
};

beforeEach(() => {
  mock.timers.enable({ apis: ['setTimeout'] });
  errors = [];
  maxBytes = Infinity;
  written = '';
  leftOut = [];
  output = new LineOutput(DESCRIPTOR, (lines) => void leftOut.push(lines), writeTo);
});

afterEach(() => {
  mock.timers.reset();
});

/** Longer than any pause of the output. */
function waitLong(): void {
  for (let step = 0; step < 50; step += 1) mock.timers.tick(100);
}

for (const code of ['ENOSPC', 'EPIPE', 'EIO', 'EBADF', 'EFBIG']) {
  test(`lines refused with ${code} are left out and counted, and later ones are written`, () => {
    errors = [code, code];
    output.write('one\n');
    output.write('two\n');
    mock.timers.tick(SECOND_MS / 2);
    output.write('three\n');
    waitLong();
    assert.deepEqual([written, leftOut], ['', []]);
    output.write('four\n');
    waitLong();
    assert.equal(written, 'four\n');
    assert.deepEqual(leftOut, [{ notRead: 0, refused: 3 }]);
  });
}

test('a refused write is followed by a pause, whatever the number of lines', () => {
  let writes = 0;
  const refusing = new LineOutput(
    DESCRIPTOR,
    () => undefined,
    (_descriptor, _bytes, onWritten) => {
      writes += 1;
      onWritten(Object.assign(new Error('ENOSPC'), { code: 'ENOSPC' }), 0);
    },
  );
  for (let line = 0; line < 100_000; line += 1) refusing.write('x'.repeat(100));
  mock.timers.tick(SECOND_MS / 2);
  assert.equal(writes, 1);
});

test('lines wait for a descriptor that has no room, and are written in parts', () => {
  errors = ['EAGAIN', undefined, 'EAGAIN'];
  maxBytes = 3;
  output.write('one\n');
  output.write('two\n');
  waitLong();
  assert.equal(written, 'one\ntwo\n');
  assert.deepEqual(leftOut, []);
});

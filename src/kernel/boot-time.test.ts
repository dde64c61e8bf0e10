import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { BootTime } from './boot-time.js';

let monotonic: number;
let wall: number;
let time: BootTime;

beforeEach(() => {
  [monotonic, wall] = [100, 5_000_000];
  time = new BootTime(
    () => monotonic,
    () => wall,
  );
  time.now();
});

function pass(monotonicMs: number, wallMs: number): void {
  monotonic += monotonicMs;
  wall += wallMs;
}

test('boot time advances with both clocks', () => {
  pass(1_000, 1_000);
  assert.equal(time.now(), 1_100);
});

test('a suspension is counted once', () => {
  pass(10, 8_010);
  assert.equal(time.now(), 8_110);
  pass(10, 10);
  assert.equal(time.now(), 8_120);
});

test('small differences between the two readings do not add up', () => {
  for (let count = 0; count < 1_000; count += 1) {
    pass(1, 1 + (count % 2 === 0 ? 3 : -3));
    time.now();
  }
  assert.equal(time.now(), 1_100);
});

test('a backward jump of the wall clock is ignored and hides no later suspension', () => {
  pass(10, -60_000);
  assert.equal(time.now(), 110);
  pass(10, 3_010);
  assert.equal(time.now(), 3_120);
});

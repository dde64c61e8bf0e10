import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { WidespreadSilence } from './widespread-silence.js';

let clock: ManualClock;
let detected: number[];
let silence: WidespreadSilence;

beforeEach(() => {
  clock = new ManualClock();
  detected = [];
  silence = new WidespreadSilence(clock, (silentNodes) => detected.push(silentNodes));
});

test('one silent node, however often, is no widespread silence', () => {
  for (let count = 0; count < 3; count += 1) silence.noteUnresponsive('a');
  assert.deepEqual(detected, []);
});

test('two nodes that become silent within a second are reported once', () => {
  silence.noteUnresponsive('a');
  clock.advance(900);
  silence.noteUnresponsive('b');
  silence.noteUnresponsive('c');
  assert.deepEqual(detected, [2]);
});

test('nodes that fail one after the other are not reported', () => {
  for (const node of ['a', 'b', 'c']) {
    silence.noteUnresponsive(node);
    clock.advance(1_100);
  }
  assert.deepEqual(detected, []);
});

test('a second silence is reported again', () => {
  for (let fault = 0; fault < 2; fault += 1) {
    silence.noteUnresponsive('a');
    silence.noteUnresponsive('b');
    clock.advance(1_500);
  }
  assert.deepEqual(detected, [2, 2]);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ConnectionSilence } from './connection-silence.js';

const [FIRST, SECOND] = [{}, {}];

test('silence is suspected while a request waits and nothing is received for 300 ms', () => {
  const silence = new ConnectionSilence();
  assert.equal(silence.isSuspected(10_000), false, 'nothing waits');
  silence.noteSent(FIRST, 10_000);
  silence.noteSent(SECOND, 10_100);
  assert.equal(silence.isSuspected(10_299), false);
  assert.equal(silence.isSuspected(10_300), true);
});

test('an answer on any connection shows that the target is reached', () => {
  const silence = new ConnectionSilence();
  silence.noteSent(FIRST, 0);
  silence.noteSent(SECOND, 100);
  silence.noteReceived(250);
  silence.noteEnded(SECOND);
  assert.equal(silence.isSuspected(549), false);
  assert.equal(silence.isSuspected(550), true);
  silence.noteEnded(FIRST);
  assert.equal(silence.isSuspected(2_000), false, 'nothing waits');
});

/** Bound on the requests sent ahead that are read in one turn. */
import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import type { Socket } from 'node:net';
import { test } from 'node:test';
import { MAX_AHEAD_PER_TURN, ReadGate } from './read-gate.js';

test('sockets are not read for the rest of a turn in which clients sent too many requests ahead', () => {
  const turns: (() => void)[] = [];
  const open = new PassThrough();
  const alreadyPaused = new PassThrough().pause();
  const sockets = [open, alreadyPaused] as unknown as Socket[];
  const gate = new ReadGate(
    () => sockets,
    (callback) => turns.push(callback),
  );
  gate.noteAhead(MAX_AHEAD_PER_TURN - 1);
  assert.equal(open.isPaused(), false);
  gate.noteAhead(1);
  gate.noteAhead(1);
  assert.equal(open.isPaused(), true);
  assert.equal(turns.length, 1);
  turns.shift()!();
  assert.equal(open.isPaused(), false);
  assert.equal(alreadyPaused.isPaused(), true);
  gate.noteAhead(1);
  assert.equal(turns.length, 1);
});

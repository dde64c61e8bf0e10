/** Bound on the work for what clients send in one turn. */
import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import type { Socket } from 'node:net';
import { beforeEach, test } from 'node:test';
import { LIGHT_TURNS, MAX_WORK_PER_TURN, ReadGate, type GatedConnection } from './read-gate.js';

interface TestConnection extends GatedConnection {
  readonly name: string;
  hasServed: boolean;
}

let turns: (() => void)[];
let resumed: string[];
let connections: TestConnection[];
let gate: ReadGate;

beforeEach(() => {
  turns = [];
  resumed = [];
  connections = [];
  gate = new ReadGate(
    () => connections,
    (callback) => turns.push(callback),
  );
});

function open(name: string): TestConnection {
  const socket = new PassThrough() as unknown as Socket;
  socket.on('resume', () => resumed.push(name));
  const connection = { name, socket, hasServed: false, readWork: 0 };
  connections.push(connection);
  return connection;
}

async function endTurn(): Promise<void> {
  turns.shift()!();
  await new Promise((resolve) => setImmediate(resolve));
}

test('sockets are not read for the rest of a turn in which clients caused too much work', async () => {
  const flooding = open('flooding');
  const other = open('other');
  const alreadyPaused = open('already paused');
  alreadyPaused.socket.pause();
  gate.note(flooding, MAX_WORK_PER_TURN - 1);
  assert.equal(other.socket.isPaused(), false);
  gate.note(flooding, 1);
  gate.note(flooding, 1);
  assert.equal(other.socket.isPaused(), true);
  assert.equal(turns.length, 1);
  await endTurn();
  assert.equal(other.socket.isPaused(), false);
  assert.equal(alreadyPaused.socket.isPaused(), true);
});

test('a connection that caused much work is not read in the turns after it', async () => {
  const flooding = open('flooding');
  open('other');
  gate.note(flooding, MAX_WORK_PER_TURN);
  for (let turn = 0; turn < LIGHT_TURNS; turn += 1) {
    await endTurn();
    assert.deepEqual(resumed, ['other']);
  }
  await endTurn();
  assert.deepEqual(resumed, ['other', 'flooding']);
  assert.equal(turns.length, 0);
});

test('connections that caused little work are read first', async () => {
  const [heavy, light, flooding] = [open('heavy'), open('light'), open('flooding')];
  gate.note(heavy, 10);
  gate.note(light, 1);
  gate.note(flooding, MAX_WORK_PER_TURN);
  open('new');
  connections.at(-1)!.socket.pause();
  await endTurn();
  assert.deepEqual(resumed, ['light', 'heavy']);
});

/** Guards against requests on known connections that wait until each connection of a crowd was read. */
test('connections that have served requests are read before new ones', async () => {
  open('new');
  const known = open('known');
  known.hasServed = true;
  gate.note(known, 10);
  gate.note(open('flooding'), MAX_WORK_PER_TURN);
  await endTurn();
  assert.deepEqual(resumed, ['known', 'new']);
});

test('a turn with little work pauses nothing', async () => {
  const connection = open('ordinary');
  gate.note(connection, 5);
  await endTurn();
  assert.deepEqual(resumed, []);
  assert.equal(turns.length, 0);
});

/** Guards against memory that is kept for connections that were closed while they were paused. */
test('a closed connection is let go at the end of the turn', async () => {
  const flooding = open('flooding');
  gate.note(flooding, MAX_WORK_PER_TURN);
  flooding.socket.destroy();
  await endTurn();
  assert.equal(turns.length, 0);
});

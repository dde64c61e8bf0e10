import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Task } from './task.js';

/** Records each message; `react` runs while the message is handled. */
class RecordingTask extends Task<string> {
  readonly handled: string[] = [];
  react: (message: string) => void = () => {};

  protected override handle(message: string): void {
    this.handled.push(`begin ${message}`);
    this.react(message);
    this.handled.push(`end ${message}`);
  }
}

test('a message to an idle task is handled before post returns', () => {
  const task = new RecordingTask('test', 1);
  assert.equal(task.post('a'), true);
  assert.deepEqual(task.handled, ['begin a', 'end a']);
});

test('a message posted while another is handled waits until that one is done', () => {
  const task = new RecordingTask('test', 2);
  task.react = (message) => {
    if (message !== 'a') return;
    task.post('b');
    task.post('c');
    assert.equal(task.backlog, 2);
  };
  task.post('a');
  assert.deepEqual(task.handled, ['begin a', 'end a', 'begin b', 'end b', 'begin c', 'end c']);
  assert.equal(task.backlog, 0);
});

test('a full mailbox refuses further messages and keeps the waiting ones', () => {
  const task = new RecordingTask('test', 2);
  const posted: boolean[] = [];
  task.react = (message) => {
    if (message === 'a') posted.push(task.post('b'), task.post('c'), task.post('d'));
  };
  task.post('a');
  assert.deepEqual(posted, [true, true, false]);
  assert.deepEqual(
    task.handled.filter((entry) => entry.startsWith('end')),
    ['end a', 'end b', 'end c'],
  );
});

test('a closed task drops waiting messages and refuses later ones', () => {
  const task = new RecordingTask('test', 2);
  task.react = () => {
    task.post('dropped');
    task.close();
  };
  task.post('a');
  assert.equal(task.post('late'), false);
  assert.deepEqual(task.handled, ['begin a', 'end a']);
});

test('a task continues after the handler of a message threw', () => {
  const task = new RecordingTask('test', 2);
  task.react = (message) => {
    if (message === 'bad') throw new Error('defect');
  };
  assert.throws(() => task.post('bad'), /defect/);
  assert.equal(task.post('good'), true);
  assert.equal(task.handled.at(-1), 'end good');
});

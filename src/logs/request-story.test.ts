import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Event } from '../kernel/event.js';
import { describeLine, parseLogLine, selectRequestLines, type LogLine } from './request-story.js';

function line(overrides: Partial<LogLine>): LogLine {
  return { node: 'a', time: 0, event: Event.AttemptFailed, id: 'one', fields: {}, ...overrides };
}

test('the end of a request comes last, whatever the clocks of the nodes say', () => {
  const end = line({ event: Event.RequestFailed, time: 1 });
  const attempt = line({ node: 'b', time: 5_000 });
  assert.deepEqual(selectRequestLines([end, attempt, line({ id: 'other' })], 'one'), [
    attempt,
    end,
  ]);
});

test('calls made for a request are included and come before its end', () => {
  const end = line({ event: Event.RequestFailed, request: 'one' });
  const call = line({ id: 'one.two', request: 'one', event: Event.RequestRefused });
  const attempt = line({ id: 'one.two', time: 9 });
  assert.deepEqual(selectRequestLines([end, attempt, call], 'one'), [attempt, call, end]);
});

test('a log line is parsed with or without a prefix; other lines are ignored', () => {
  const text = '{"level":30,"time":7,"node":"n","event":400,"id":"x","code":2001,"msg":"m"}';
  const expected = { node: 'n', time: 7, event: 400, id: 'x', fields: { code: 2001 } };
  assert.deepEqual(parseLogLine(`12.5 n ${text}`), expected);
  assert.equal(parseLogLine('{"event":100}'), undefined);
  assert.equal(parseLogLine('no log'), undefined);
  assert.equal(parseLogLine('{"broken'), undefined);
});

test('a line is formatted with its node, event, id and fields', () => {
  const text = describeLine(line({ fields: { code: 2001, detail: 'full' } }));
  assert.equal(text, 'a  AttemptFailed  one  code=2001 detail=full');
});

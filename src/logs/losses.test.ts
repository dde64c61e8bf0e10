import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ResultCode } from '../core/result-code.js';
import { Event } from '../kernel/event.js';
import { countLosses, sumLosses } from './losses.js';
import type { LogLine } from './request-story.js';

function end(overrides: Partial<LogLine>): LogLine {
  const fields = { kind: 'read', code: ResultCode.AdmissionRefused };
  const defaults = { node: 'n', time: 10_000, event: Event.RequestRefused, id: 'a', request: 'a' };
  return { ...defaults, fields, ...overrides };
}

test('ends are counted by second, kind, ending and cause', () => {
  const failed = { kind: 'write', code: ResultCode.AnswerTimeout };
  const rows = countLosses([
    end({ id: 'a', request: 'a' }),
    end({ id: 'b', request: 'b', time: 10_999 }),
    end({ id: 'c', request: 'c', time: 11_000, event: Event.RequestFailed, fields: failed }),
  ]);
  assert.deepEqual(
    rows.map(({ second, kind, ending, cause, count }) => [second, kind, ending, cause, count]),
    [
      [0, 'read', 'refused', 'AdmissionRefused', 2],
      [1, 'write', 'failed', 'AnswerTimeout', 1],
    ],
  );
});

test('calls of targets are distinguished from requests of callers, and the overloaded service is named', () => {
  const fields = {
    kind: 'call',
    code: ResultCode.AdmissionRefused,
    detail: 'refused for load of deep, called below',
  };
  const rows = countLosses([end({ id: 'a.b', request: 'a', fields })]);
  assert.equal(rows[0]?.fromCaller, false);
  assert.equal(rows[0].cause, 'AdmissionRefused for deep');
});

test('served requests are counted by the class of their status', () => {
  const served = end({ event: Event.RequestServed, fields: { kind: 'read', status: 500 } });
  assert.deepEqual(
    countLosses([served]).map(({ ending, cause }) => [ending, cause]),
    [['served', '5xx']],
  );
});

test('rows are summed over all seconds, largest first; lines of other events are ignored', () => {
  const lines = [
    end({ time: 10_000, fields: { kind: 'rare', code: ResultCode.QueueFull } }),
    end({ time: 12_000 }),
    end({ time: 15_000 }),
    end({ event: Event.AttemptFailed }),
  ];
  const sums = sumLosses(countLosses(lines));
  assert.deepEqual(
    sums.map(({ kind, count }) => [kind, count]),
    [
      ['read', 2],
      ['rare', 1],
    ],
  );
});

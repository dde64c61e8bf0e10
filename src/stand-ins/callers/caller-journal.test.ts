import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ExchangeResult } from '../http-exchange.js';
import { concludeRequest, judgeExchange, type CallVerdict } from './caller-journal.js';

const DIGEST = 'ab'.repeat(32);
const answer = (
  status: number,
  headers: Record<string, string>,
  body: unknown = {},
): ExchangeResult => ({ type: 'answer', status, headers, body: Buffer.from(JSON.stringify(body)) });
const own = { request: 'k1', digest: DIGEST, filler: DIGEST + 'ab' };

const judgeCases: readonly (readonly [string, ExchangeResult, CallVerdict])[] = [
  ['own answer', answer(200, {}, own), 'complete'],
  ['other digest', answer(200, {}, { ...own, digest: 'cd' }), 'wrong'],
  ['other key', answer(200, {}, { ...own, request: 'k2' }), 'wrong'],
  ['damaged filler', answer(200, {}, { ...own, filler: 'abax' }), 'wrong'],
  ['not JSON', { type: 'answer', status: 200, headers: {}, body: Buffer.from('{') }, 'wrong'],
  ['answer not-run', answer(503, { 'sillshore-execution': 'not-run' }), 'refused'],
  ['answer unknown', answer(504, { 'sillshore-execution': 'unknown' }), 'unknown'],
  ['answer run', answer(502, { 'sillshore-execution': 'run' }), 'failed'],
  ['error of the service', answer(502, {}), 'failed'],
  ['cut', { type: 'cut', error: 'reset' }, 'unknown'],
  ['timeout', { type: 'timeout' }, 'unknown'],
  ['not sent', { type: 'not-sent', error: 'refused' }, 'refused'],
];

for (const [name, result, verdict] of judgeCases) {
  test(`verdict of an attempt: ${name}`, () => {
    assert.equal(judgeExchange(result, DIGEST, 'k1'), verdict);
  });
}

const concludeCases: readonly (readonly [CallVerdict[], CallVerdict, boolean])[] = [
  [['refused', 'refused'], 'refused', true],
  [['unknown', 'refused'], 'unknown', false],
  [['unknown', 'complete'], 'complete', false],
  [['failed', 'refused'], 'failed', false],
  [['wrong', 'complete'], 'wrong', false],
];

for (const [verdicts, expected, toldNotRun] of concludeCases) {
  test(`verdict of a request: ${verdicts.join(', ')}`, () => {
    const tries = verdicts.map((verdict) => ({
      entry: 0,
      verdict,
      ended: 'answer' as const,
      latencyMs: 1,
    }));
    const record = concludeRequest('k1', 'kind', 0, tries, 1);
    assert.deepEqual([record.verdict, record.toldNotRun], [expected, toldNotRun]);
  });
}

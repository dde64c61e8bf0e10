import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { parseRules } from '../config/rules.js';
import type { BackendJournal, JournalEntry } from '../stand-ins/backend/effects-journal.js';
import {
  concludeRequest,
  type CallVerdict,
  type TryRecord,
} from '../stand-ins/callers/caller-journal.js';
import { checkGuarantees, hasNoViolations } from './guarantees.js';

const rules = parseRules(readFileSync('examples/recife/rules.yaml', 'utf8')).unwrapOrElse(() =>
  assert.fail('rules'),
);
const REQUEST = 'r1';

function record(kind: string, verdicts: readonly CallVerdict[]) {
  const tries: TryRecord[] = verdicts.map((verdict) => ({
    entry: 0,
    verdict,
    ended: verdict === 'unknown' ? 'cut' : 'answer',
    latencyMs: 1,
  }));
  return concludeRequest(REQUEST, kind, 0, tries, 1);
}

function journal(
  service: string,
  target: string,
  entry: Partial<JournalEntry>,
  wrongAnswersBelow = 0,
): BackendJournal {
  const counters = {
    anonymous: 0,
    drainStartedAt: 0,
    lastReceivedAt: 0,
    receivedWhileDraining: 0,
    connectionsRefused: 0,
    wrongAnswersBelow,
  };
  const base = { request: REQUEST, method: 'POST', path: '/promises?request=r1' };
  const empty = { received: 1, refused: 0, begunAt: [], effectAt: [], cancelled: 0 };
  return { service, target, counters, entries: [{ ...base, ...empty, ...entry }] };
}

const ran = { begunAt: [1], effectAt: [1] };
const step = { method: 'GET', path: '/steps?request=r1', ...ran };

const cases: readonly {
  readonly name: string;
  readonly kind: string;
  readonly verdicts: readonly CallVerdict[];
  readonly journals: readonly BackendJournal[];
  readonly expected: Partial<ReturnType<typeof checkGuarantees>>;
}[] = [
  {
    name: 'one effect and a complete answer',
    kind: 'promise-entry',
    verdicts: ['complete'],
    journals: [journal('promise-ledger', 'a', ran)],
    expected: { complete: 1, doubled: 0, maxAttempts: 1, violations: [] },
  },
  {
    name: 'two effects of one promise at two targets',
    kind: 'promise-entry',
    verdicts: ['unknown', 'complete'],
    journals: [journal('promise-ledger', 'a', ran), journal('promise-ledger', 'b', ran)],
    expected: { doubled: 1, maxAttempts: 2, cut: 1 },
  },
  {
    name: 'two effects of an idempotent request',
    kind: 'script-step',
    verdicts: ['complete'],
    journals: [journal('script-guide', 'a', step), journal('script-guide', 'b', step)],
    expected: { doubled: 0, maxAttempts: 2, violations: [] },
  },
  {
    name: 'refused as not run, but begun',
    kind: 'promise-entry',
    verdicts: ['refused', 'refused'],
    journals: [journal('promise-ledger', 'a', { begunAt: [1], cancelled: 1 })],
    expected: { notRunButRan: 1 },
  },
  {
    name: 'refused as not run, and only refused',
    kind: 'promise-entry',
    verdicts: ['refused'],
    journals: [journal('promise-ledger', 'a', { refused: 1 })],
    expected: { notRunButRan: 0, violations: [] },
  },
  {
    name: 'an attempt of unknown outcome followed by a refusal',
    kind: 'promise-entry',
    verdicts: ['unknown', 'refused'],
    journals: [journal('promise-ledger', 'a', ran)],
    expected: { notRunButRan: 0, violations: [] },
  },
  {
    name: 'more attempts on the chain than allowed',
    kind: 'script-step',
    verdicts: ['complete'],
    journals: [
      journal('script-guide', 'a', { ...step, received: 2 }),
      journal('objection-answers', 'a', { ...step, path: '/answers', received: 2 }),
      journal('recording-archive', 'a', { ...step, path: '/recordings', received: 3 }),
    ],
    expected: { aboveBound: 1, maxAttempts: 7 },
  },
  {
    name: 'complete without an effect',
    kind: 'promise-entry',
    verdicts: ['complete'],
    journals: [],
    expected: { completeWithoutEffect: 1 },
  },
  {
    name: 'wrong answers at a caller and between services',
    kind: 'promise-entry',
    verdicts: ['wrong'],
    journals: [journal('promise-ledger', 'a', ran, 2)],
    expected: { wrongAnswer: 3 },
  },
];

for (const { name, kind, verdicts, journals, expected } of cases) {
  test(`guarantees: ${name}`, () => {
    const report = checkGuarantees({ rules, records: [record(kind, verdicts)], journals });
    for (const [member, value] of Object.entries(expected)) {
      assert.deepEqual(report[member as keyof typeof report], value, member);
    }
    assert.equal(hasNoViolations(report), report.violations.length === 0);
    const broken =
      report.doubled +
      report.wrongAnswer +
      report.notRunButRan +
      report.aboveBound +
      report.completeWithoutEffect;
    assert.equal(hasNoViolations(report), broken === 0);
  });
}

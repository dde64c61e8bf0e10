/** Each promise of the soak has a ledger that breaks it and must be found, and only that one. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkLedger, PROMISES, type Bounds } from './checks.js';
import { createLedger, type Ledger, type SeenRequest, type SeenRun } from './ledger.js';

const BOUNDS: Bounds = {
  contactMs: 3_000,
  gracePeriodMs: 6_000,
  lossSlackMs: 200,
  applyMs: 2_000,
  drainMs: 500,
};

const REQUEST: SeenRequest = {
  attemptId: 'a',
  method: 'POST',
  path: '/write/5',
  machine: 'node-1',
  relayed: false,
  sentAt: 10_000,
  endedAt: 10_050,
  deadlineMs: 3_000,
  behind: 0,
  leftAt: undefined,
  outcome: { type: 'answered', status: 200, body: 'answer to a' },
};

const RUN: SeenRun = {
  attemptId: 'a',
  path: '/write/5',
  machine: 'node-2',
  service: 'ledger',
  targetId: 'i-1',
  startedAt: 10_010,
  timeLeftMs: 2_980,
  endedAt: 10_040,
  brokenOff: false,
};

const CLOSED = { type: 'closed', connected: true, reset: false, receivedBytes: 0 } as const;
const REFUSED = { type: 'answered', status: 503, body: 'no' } as const;
const STOP = { machine: 'node-1', kind: 'stop', from: 9_000, to: 14_000 } as const;
const KILL = { machine: 'node-1', kind: 'kill', from: 9_900, to: 12_000 } as const;
const MOVED = { ...RUN, path: '/moved/5', service: 'ledger' };
const MOVED_REQUEST = { ...REQUEST, method: 'GET', path: '/moved/5' };
const LEFT = { ...REQUEST, method: 'GET', path: '/read/5', outcome: CLOSED, leftAt: 10_050 };
const ENDING = {
  ...{ machine: 'node-1', at: 9_500, code: 0, signal: null },
  beforeStart: false,
};

type Parts = Partial<Ledger>;

/** What breaks a promise. */
const MUTANTS: readonly (readonly [promise: string, name: string, parts: Parts])[] = [
  [
    'answers are whole and the own ones',
    "another request's answer",
    { requests: [{ ...REQUEST, outcome: { type: 'answered', status: 200, body: 'answer to b' } }] },
  ],
  ['nothing that may not repeat runs twice', 'two runs', { runs: [RUN, RUN] }],
  [
    'what is said not to have run has not',
    'refused and run',
    { requests: [{ ...REQUEST, outcome: REFUSED }], runs: [RUN] },
  ],
  [
    'planned work ends no request without an answer',
    'run and closed after a stop signal',
    { requests: [{ ...REQUEST, outcome: CLOSED }], runs: [RUN], disruptions: [{ ...STOP }] },
  ],
  [
    'planned work ends no request without an answer',
    'held and closed, not run',
    { requests: [{ ...REQUEST, outcome: CLOSED, endedAt: 10_300 }] },
  ],
  [
    'planned work ends no request without an answer',
    'taken late in the stop and cut at its end',
    {
      requests: [{ ...REQUEST, outcome: CLOSED, sentAt: 12_500, endedAt: 14_300 }],
      runs: [{ ...RUN, startedAt: 12_510, endedAt: 14_300, timeLeftMs: 2_900 }],
      disruptions: [{ ...STOP }],
    },
  ],
  [
    'routes that all versions have are known',
    'a 404',
    { requests: [{ ...REQUEST, outcome: { type: 'answered', status: 404, body: '' } }] },
  ],
  [
    'nothing runs at a target whose leave was acknowledged',
    'a run after it',
    { runs: [RUN], leaves: [{ machine: 'node-2', targetId: 'i-1', at: 9_400 }] },
  ],
  [
    'a change of the rules is in force in time',
    'an old service',
    {
      requests: [MOVED_REQUEST],
      runs: [MOVED],
      rules: [
        { at: 0, movedTo: 'ledger' },
        { at: 7_000, movedTo: 'archive' },
      ],
    },
  ],
  [
    'targets get no more time than is left',
    'more time',
    { requests: [REQUEST], runs: [{ ...RUN, timeLeftMs: 3_600 }] },
  ],
  [
    'targets get no more time than is left',
    'no time at all',
    { requests: [REQUEST], runs: [{ ...RUN, timeLeftMs: undefined }] },
  ],
  [
    'work whose caller has left ends',
    'work goes on',
    { requests: [LEFT], runs: [{ ...RUN, endedAt: 12_000 }] },
  ],
  [
    'processes end only when told to, and in time',
    'an end by itself',
    { endings: [{ ...ENDING, code: 1, expected: false, overdue: false }] },
  ],
  [
    'processes end only when told to, and in time',
    'a reload that ends the program',
    { endings: [{ ...ENDING, code: null, signal: 'SIGHUP', expected: false, overdue: false }] },
  ],
  [
    'processes end only when told to, and in time',
    'a failed stop',
    { endings: [{ ...ENDING, code: 1, expected: true, overdue: false }] },
  ],
  [
    'processes end only when told to, and in time',
    'a stop that outlasts the grace period',
    { endings: [{ ...ENDING, code: null, signal: 'SIGKILL', expected: true, overdue: true }] },
  ],
  ['no internal error', 'a line', { internalErrors: ['event 103'] }],
  ['nodes serve again after the last fault', 'one does not', { notRecovered: ['node-1'] }],
];

for (const [promise, name, parts] of MUTANTS) {
  test(`a soak finds: ${promise}: ${name}`, () => {
    const violations = checkLedger({ ...createLedger(), ...parts }, BOUNDS);
    assert.deepEqual(
      violations.map((violation) => violation.promise),
      [promise],
    );
  });
}

test('every promise has a mutant', () => {
  assert.deepEqual(new Set(MUTANTS.map(([promise]) => promise)), new Set(PROMISES));
});

/** What is allowed. */
const ALLOWED: readonly (readonly [name: string, parts: Parts])[] = [
  ['an answered request', { requests: [REQUEST], runs: [RUN] }],
  ['two runs of what may repeat', { runs: [MOVED, MOVED] }],
  ['a refusal that was run and may repeat', { requests: [{ ...MOVED_REQUEST, outcome: REFUSED }] }],
  [
    'a signal before the program runs',
    {
      endings: [
        ...[{ ...ENDING, code: null, signal: 'SIGHUP', expected: false, overdue: false }].map(
          (ending) => ({ ...ending, beforeStart: true }),
        ),
      ],
    },
  ],
  [
    'no node there',
    { requests: [{ ...REQUEST, outcome: { ...CLOSED, connected: false }, endedAt: 11_000 }] },
  ],
  [
    'no node behind a relay',
    { requests: [{ ...REQUEST, outcome: CLOSED, relayed: true, endedAt: 11_000 }] },
  ],
  ['closed unread and unrun', { requests: [{ ...REQUEST, outcome: CLOSED }] }],
  [
    'cut by a kill',
    { requests: [{ ...REQUEST, outcome: CLOSED }], runs: [RUN], disruptions: [{ ...KILL }] },
  ],
  [
    'its target at work until the last part of the stop',
    {
      requests: [{ ...REQUEST, outcome: CLOSED, endedAt: 14_300, deadlineMs: 6_000 }],
      runs: [{ ...RUN, endedAt: 14_300 }],
      disruptions: [{ ...STOP }],
    },
  ],
  [
    'the old service while a change is new',
    {
      requests: [MOVED_REQUEST],
      runs: [MOVED],
      rules: [
        { at: 0, movedTo: 'ledger' },
        { at: 8_500, movedTo: 'archive' },
      ],
    },
  ],
  [
    'more time from a node that has just started',
    {
      requests: [REQUEST],
      runs: [{ ...RUN, timeLeftMs: 3_600 }],
      disruptions: [{ ...STOP, from: 1_000, to: 8_000 }],
    },
  ],
  ['work that ends with its caller', { requests: [LEFT], runs: [{ ...RUN, endedAt: 10_400 }] }],
  [
    'a planned end',
    { endings: [{ ...ENDING, expected: true, overdue: false }], disruptions: [{ ...STOP }] },
  ],
];

for (const [name, parts] of ALLOWED) {
  test(`a soak allows: ${name}`, () => {
    assert.deepEqual(checkLedger({ ...createLedger(), ...parts }, BOUNDS), []);
  });
}

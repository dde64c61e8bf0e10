/** Checks that a ledger that breaks one guarantee is reported as breaking that one and no other. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LIMITED_TENANT, MAX_LIMITED_RUNS } from './soak-tenants.js';
import { checkLedger, GUARANTEES, type Bounds } from './checks.js';
import { createLedger, type Ledger, type ObservedRequest, type ObservedRun } from './ledger.js';

const BOUNDS: Bounds = {
  settlingMs: 3_000,
  gracePeriodMs: 6_000,
  lossSlackMs: 200,
  applyMs: 2_000,
  drainMs: 500,
};

const REQUEST: ObservedRequest = {
  attemptId: 'a',
  method: 'POST',
  path: '/write/5',
  machine: 'node-1',
  relayed: false,
  sentAt: 10_000,
  endedAt: 10_050,
  deadlineMs: 3_000,
  outstandingBefore: 0,
  disconnectedAt: undefined,
  outcome: { type: 'answered', status: 200, body: 'answer to a' },
};

const RUN: ObservedRun = {
  attemptId: 'a',
  path: '/write/5',
  machine: 'node-2',
  service: 'ledger',
  targetId: 'i-1',
  startedAt: 10_010,
  timeLeftMs: 2_980,
  endedAt: 10_040,
  aborted: false,
};

const CLOSED = { type: 'closed', connected: true, reset: false, receivedBytes: 0 } as const;
const REFUSED = { type: 'answered', status: 503, body: 'no' } as const;
const STOP = { machine: 'node-1', kind: 'stop', from: 9_000, to: 14_000 } as const;
const KILL = { machine: 'node-1', kind: 'kill', from: 9_900, to: 12_000 } as const;
const MOVED = { ...RUN, path: '/moved/5', service: 'ledger' };
const MOVED_REQUEST = { ...REQUEST, method: 'GET', path: '/moved/5' };
const DISCONNECTED = {
  ...REQUEST,
  method: 'GET',
  path: '/read/5',
  outcome: CLOSED,
  disconnectedAt: 10_050,
};
const EXIT = {
  ...{ machine: 'node-1', at: 9_500, code: 0, signal: null },
  beforeStart: false,
};

/** A request that a node answered with a statement of the target, and another one sent later. */
const BOUND = { ...REQUEST, attemptId: 'b', sentAt: 5_000, endedAt: 5_050 };
const BOUND_REQUEST = { ...BOUND, outcome: { ...REQUEST.outcome, body: 'answer to b' } } as const;
const STATED_LEAVING = { ...RUN, attemptId: 'b', startedAt: 5_010, statedLeaving: true };
const STATED_LIMIT = { ...RUN, attemptId: 'b', startedAt: 5_010, statedLimit: true };
const LIMIT = { machine: 'node-2', targetId: 'i-1', requestsPerSecond: 1, from: 5_000, to: 15_000 };
const LATER = Array.from({ length: 12 }, (_, index) => ({
  request: {
    ...REQUEST,
    attemptId: `c${index}`,
    outcome: { type: 'answered', status: 200, body: `answer to c${index}` } as const,
  },
  run: { ...RUN, attemptId: `c${index}`, startedAt: 10_010 },
}));
const BOUND_LEDGER = {
  requests: [BOUND_REQUEST, ...LATER.map(({ request }) => request)],
  runs: [STATED_LIMIT, ...LATER.map(({ run }) => run)],
  limits: [LIMIT],
};

const OVER_LIMIT = Array.from({ length: Math.floor(MAX_LIMITED_RUNS) + 1 }, (_, index) => ({
  ...RUN,
  attemptId: `t${index}`,
  tenant: LIMITED_TENANT,
}));

type Parts = Partial<Ledger>;

/** Ledgers that break one guarantee each. */
const VIOLATING_LEDGERS: readonly (readonly [guarantee: string, name: string, parts: Parts])[] = [
  [
    'callers get complete answers to their own requests',
    "another request's answer",
    { requests: [{ ...REQUEST, outcome: { type: 'answered', status: 200, body: 'answer to b' } }] },
  ],
  ['non-idempotent requests run at most once', 'two runs', { runs: [RUN, RUN] }],
  [
    'requests refused as not run were not run',
    'refused and run',
    { requests: [{ ...REQUEST, outcome: REFUSED }], runs: [RUN] },
  ],
  [
    'planned stops and changes leave no request unanswered',
    'run and closed after a stop signal',
    { requests: [{ ...REQUEST, outcome: CLOSED }], runs: [RUN], disruptions: [{ ...STOP }] },
  ],
  [
    'planned stops and changes leave no request unanswered',
    'read and closed, not run',
    { requests: [{ ...REQUEST, outcome: CLOSED, endedAt: 10_300 }] },
  ],
  [
    'planned stops and changes leave no request unanswered',
    'accepted late in the stop and cut at its end',
    {
      requests: [{ ...REQUEST, outcome: CLOSED, sentAt: 12_500, endedAt: 14_300 }],
      runs: [{ ...RUN, startedAt: 12_510, endedAt: 14_300, timeLeftMs: 2_900 }],
      disruptions: [{ ...STOP }],
    },
  ],
  [
    'routes in all versions of the rules are always found',
    'a 404',
    { requests: [{ ...REQUEST, outcome: { type: 'answered', status: 404, body: '' } }] },
  ],
  [
    'nothing runs at a target whose leave was acknowledged',
    'a run after it',
    { runs: [RUN], leaves: [{ machine: 'node-2', targetId: 'i-1', at: 9_400 }] },
  ],
  [
    'nothing runs at a target that stated that it leaves',
    'a run after its statement was passed on',
    { requests: [BOUND_REQUEST, REQUEST], runs: [STATED_LEAVING, RUN] },
  ],
  [
    'a tenant has no more requests run than its limit allows',
    'more in a window than the limit and its allowance',
    {
      requests: OVER_LIMIT.map(({ attemptId }) => ({
        ...REQUEST,
        attemptId,
        outcome: { type: 'answered', status: 200, body: `answer to ${attemptId}` },
      })),
      runs: OVER_LIMIT,
    },
  ],
  [
    'targets get no more requests than they state that they take',
    'more than one and a half times the limit and five',
    BOUND_LEDGER,
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
    'a change of the rules is in force in time',
    'an old service, more than three seconds after connections went silent',
    {
      requests: [MOVED_REQUEST],
      runs: [MOVED],
      rules: [
        { at: 0, movedTo: 'ledger' },
        { at: 7_000, movedTo: 'archive' },
      ],
      disruptions: [{ ...KILL, kind: 'connections', from: 6_900, to: 6_900 }],
    },
  ],
  [
    'targets get no more time than the deadline leaves',
    'more time',
    { requests: [REQUEST], runs: [{ ...RUN, timeLeftMs: 3_600 }] },
  ],
  [
    'targets get no more time than the deadline leaves',
    'more time than a stall of the relays explains',
    {
      requests: [REQUEST],
      runs: [{ ...RUN, startedAt: 10_200, timeLeftMs: 3_600 }],
      driverStalls: [{ from: 9_000, to: 10_100 }],
    },
  ],
  [
    'targets get no more time than the deadline leaves',
    'no time at all',
    { requests: [REQUEST], runs: [{ ...RUN, timeLeftMs: undefined }] },
  ],
  [
    'requests of disconnected callers are cancelled',
    'work goes on',
    { requests: [DISCONNECTED], runs: [{ ...RUN, endedAt: 12_000 }] },
  ],
  [
    'processes exit only on request and within the grace period',
    'an unexpected exit',
    { exits: [{ ...EXIT, code: 1, expected: false, overdue: false }] },
  ],
  [
    'processes exit only on request and within the grace period',
    'a reload that terminates the program',
    { exits: [{ ...EXIT, code: null, signal: 'SIGHUP', expected: false, overdue: false }] },
  ],
  [
    'processes exit only on request and within the grace period',
    'a failed stop',
    { exits: [{ ...EXIT, code: 1, expected: true, overdue: false }] },
  ],
  [
    'processes exit only on request and within the grace period',
    'a stop that takes longer than the grace period',
    { exits: [{ ...EXIT, code: null, signal: 'SIGKILL', expected: true, overdue: true }] },
  ],
  ['no internal error', 'a line', { internalErrors: ['event 103'] }],
  ['nodes serve again after the last fault', 'one does not', { notRecovered: ['node-1'] }],
];

for (const [guarantee, name, parts] of VIOLATING_LEDGERS) {
  test(`a soak finds: ${guarantee}: ${name}`, () => {
    const violations = checkLedger({ ...createLedger(), ...parts }, BOUNDS);
    assert.deepEqual(
      violations.map((violation) => violation.promise),
      [guarantee],
    );
  });
}

test('every guarantee has a ledger that breaks it', () => {
  assert.deepEqual(new Set(VIOLATING_LEDGERS.map(([guarantee]) => guarantee)), new Set(GUARANTEES));
});

/** Ledgers that break no guarantee. */
const ALLOWED_LEDGERS: readonly (readonly [name: string, parts: Parts])[] = [
  ['an answered request', { requests: [REQUEST], runs: [RUN] }],
  [
    'requests at a target that leaves, from a node that has restarted since',
    {
      requests: [BOUND_REQUEST, REQUEST],
      runs: [STATED_LEAVING, RUN],
      disruptions: [{ ...KILL, from: 6_000, to: 6_500 }],
    },
  ],
  [
    'eleven requests in 4 s at a limit of one a second',
    { ...BOUND_LEDGER, runs: BOUND_LEDGER.runs.slice(0, -1) },
  ],
  [
    'requests beyond a limit shortly after it was first stated',
    { ...BOUND_LEDGER, limits: [{ ...LIMIT, from: 8_000 }] },
  ],
  ['two runs of what may repeat', { runs: [MOVED, MOVED] }],
  ['a refusal that was run and may repeat', { requests: [{ ...MOVED_REQUEST, outcome: REFUSED }] }],
  [
    'a signal before the program runs',
    {
      exits: [
        ...[{ ...EXIT, code: null, signal: 'SIGHUP', expected: false, overdue: false }].map(
          (exit) => ({ ...exit, beforeStart: true }),
        ),
      ],
    },
  ],
  [
    'no node that listens',
    { requests: [{ ...REQUEST, outcome: { ...CLOSED, connected: false }, endedAt: 11_000 }] },
  ],
  [
    'no node behind a relay',
    { requests: [{ ...REQUEST, outcome: CLOSED, relayed: true, endedAt: 11_000 }] },
  ],
  ['closed before it was read or run', { requests: [{ ...REQUEST, outcome: CLOSED }] }],
  [
    'cut by a kill',
    { requests: [{ ...REQUEST, outcome: CLOSED }], runs: [RUN], disruptions: [{ ...KILL }] },
  ],
  [
    'run by its target until the last phase of the stop',
    {
      requests: [{ ...REQUEST, outcome: CLOSED, endedAt: 14_300, deadlineMs: 6_000 }],
      runs: [{ ...RUN, endedAt: 14_300 }],
      disruptions: [{ ...STOP }],
    },
  ],
  [
    'the old service shortly after a change',
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
    'the old service within three seconds of a silence of connections',
    {
      requests: [MOVED_REQUEST],
      runs: [MOVED],
      rules: [
        { at: 0, movedTo: 'ledger' },
        { at: 7_000, movedTo: 'archive' },
      ],
      disruptions: [{ ...KILL, kind: 'connections', from: 7_100, to: 7_100 }],
    },
  ],
  [
    'a request that was in a relay while the relays stood still',
    {
      requests: [REQUEST],
      runs: [{ ...RUN, startedAt: 10_520, timeLeftMs: 2_991 }],
      driverStalls: [{ from: 10_000, to: 10_500 }],
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
  [
    'work that ends soon after its caller has disconnected',
    { requests: [DISCONNECTED], runs: [{ ...RUN, endedAt: 10_400 }] },
  ],
  [
    'a planned exit',
    { exits: [{ ...EXIT, expected: true, overdue: false }], disruptions: [{ ...STOP }] },
  ],
];

for (const [name, parts] of ALLOWED_LEDGERS) {
  test(`a soak allows: ${name}`, () => {
    assert.deepEqual(checkLedger({ ...createLedger(), ...parts }, BOUNDS), []);
  });
}

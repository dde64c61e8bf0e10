/** A request with a scripted router, targets and clock. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AttemptReport, PickResult, ServiceRouter } from '../../core/overload.js';
import type { AttemptOutcome, RequestContext } from '../../core/request.js';
import { ResultCode } from '../../core/result-code.js';
import { ManualClock } from '../../kernel/clock.js';
import { createNotOfferedFailure } from '../link/attempt-port.js';
import type { AttemptCall, AttemptEnd } from '../link/link-messages.js';
import { WindowedRetryBudget } from './windowed-retry-budget.js';
import { RoutedRequest, type RequestEnd } from './routed-request.js';

const CONTEXT: RequestContext = {
  requestId: 'a',
  tenant: '',
  service: 's',
  kind: 'k',
  criticality: 'normal',
  deadline: 1_000,
  idempotent: true,
  depth: 0,
};

const CALL: AttemptCall = {
  attemptId: 'a',
  requestId: 'a',
  service: 's',
  kind: 'k',
  rank: 2,
  idempotent: true,
  depth: 0,
  repeated: false,
  committed: false,
  timeLeftMs: 0,
  dueInMs: 7,
  callerService: 'c',
  method: 'GET',
  path: '/',
  fields: [],
  body: Buffer.alloc(0),
};

const ANSWER: AttemptEnd = { type: 'answer', status: 200, fields: [], body: Buffer.alloc(0) };
const FAILED_ANSWER: AttemptEnd = { ...ANSWER, status: 500 };

function failed(outcome: AttemptOutcome, offered: boolean): AttemptEnd {
  return {
    type: 'failure',
    outcome,
    execution: offered ? 'unknown' : 'not-run',
    code: ResultCode.AnswerIncomplete,
    detail: 'scripted',
    offered,
  };
}

/** One request under test. */
class Scene {
  readonly clock = new ManualClock();
  readonly reports: AttemptReport[] = [];
  readonly sent: AttemptCall[] = [];
  readonly ends: RequestEnd[] = [];
  cancelled = 0;
  endAttempt: (end: AttemptEnd) => void = () => {};
  readonly request: RoutedRequest;

  constructor(
    overrides: {
      idempotent?: boolean;
      known?: boolean;
      mayHaveRun?: boolean;
      mayRetry?: boolean;
    } = {},
  ) {
    const { idempotent = true, known = true, mayHaveRun = true, mayRetry = true } = overrides;
    const router: ServiceRouter = {
      updateTargets: () => {},
      admit: () => undefined,
      pick: (): PickResult => ({ type: 'target', target: `node-${this.sent.length + 1}` }),
      onOutcome: (_now, report) => this.reports.push(report),
      decideRetry: () => assert.fail('not used'),
      threshold: () => 0,
    };
    this.request = new RoutedRequest({
      context: { ...CONTEXT, idempotent },
      call: { ...CALL, idempotent },
      maxAttempts: 2,
      service: {
        router,
        retryBudget: new WindowedRetryBudget({ ratio: 0, windowMs: 10_000, slack: 0 }),
        noteAttemptStart: () => {},
        noteAttemptEnd: () => {},
      },
      clock: this.clock,
      retrySlack: 5,
      mayRetry: () => mayRetry,
      portOf: () =>
        known
          ? {
              dispatch: (call, onEnd) => {
                this.sent.push(call);
                this.endAttempt = onEnd;
                return () => {
                  this.cancelled += 1;
                  return mayHaveRun;
                };
              },
            }
          : undefined,
      onEnd: (end) => this.ends.push(end),
    });
    this.request.start();
  }

  outcomes(): readonly AttemptOutcome[] {
    return this.reports.map(({ outcome }) => outcome);
  }

  executions(): readonly unknown[] {
    return this.ends.map((end) => (end.type === 'refusal' ? end.failure.execution : end.status));
  }
}

test('an answer ends the request and is reported to the router', () => {
  const scene = new Scene();
  scene.endAttempt(ANSWER);
  assert.deepEqual(scene.executions(), [200]);
  assert.deepEqual(scene.outcomes(), ['success']);
});

test('the end of an attempt whose caller disconnected is reported to the router', () => {
  const scene = new Scene();
  scene.request.cancel();
  scene.endAttempt(ANSWER);
  assert.deepEqual([scene.cancelled, scene.ends.length], [1, 0]);
  assert.deepEqual(scene.outcomes(), ['cancelled']);
});

test('the end of an attempt at the deadline is reported to the router', () => {
  const scene = new Scene();
  scene.clock.advance(1_000);
  assert.deepEqual(scene.executions(), ['unknown']);
  assert.deepEqual(scene.outcomes(), ['timeout']);
});

test('an attempt that was not sent by the deadline is not run, and not a failure of its target', () => {
  const scene = new Scene({ mayHaveRun: false });
  scene.clock.advance(1_000);
  assert.deepEqual(scene.executions(), ['not-run']);
  assert.deepEqual(scene.outcomes(), ['cancelled']);
});

test('an attempt at a node that is no longer known ends at once', () => {
  const scene = new Scene({ known: false });
  assert.deepEqual(scene.executions(), ['not-run']);
});

test('an idempotent request is sent to at most maxAttempts targets', () => {
  const scene = new Scene();
  scene.endAttempt(failed('failed', true));
  scene.endAttempt(failed('failed', true));
  assert.equal(scene.sent.length, 2);
  assert.deepEqual(scene.executions(), ['unknown']);
});

test('a request that may have run and is not idempotent is not retried', () => {
  const scene = new Scene({ idempotent: false });
  scene.endAttempt(failed('failed', true));
  assert.equal(scene.sent.length, 1);
  assert.deepEqual(scene.executions(), ['unknown']);
});

test('a request is sent to one more node after a refusal for load, to several when targets are leaving', () => {
  const loaded = new Scene({ idempotent: false });
  for (let count = 0; count < 2; count += 1) loaded.endAttempt(failed('overloaded', false));
  assert.equal(loaded.sent.length, 2);
  assert.deepEqual(loaded.executions(), ['not-run']);
  const leaving = new Scene({ idempotent: false });
  const end = createNotOfferedFailure('draining', ResultCode.NoTargetAvailable, 'leaving');
  for (let count = 0; count < 5; count += 1) leaving.endAttempt(end);
  assert.equal(leaving.sent.length, 6);
  leaving.endAttempt(ANSWER);
  assert.deepEqual(leaving.executions(), [200]);
});

test('an idempotent request that its target failed is retried at another', () => {
  const scene = new Scene();
  scene.endAttempt(FAILED_ANSWER);
  assert.equal(scene.sent.length, 2);
  assert.equal(scene.sent[1]!.repeated, true);
  scene.endAttempt(ANSWER);
  assert.deepEqual(scene.executions(), [200]);
});

test('when the retry fails as well, the first answer is returned', () => {
  for (const end of [FAILED_ANSWER, failed('failed', true), failed('overloaded', false)]) {
    const scene = new Scene();
    scene.endAttempt(FAILED_ANSWER);
    for (let count = 0; count < 5; count += 1) scene.endAttempt(end);
    assert.deepEqual(scene.executions(), [500]);
  }
  const scene = new Scene();
  scene.endAttempt(FAILED_ANSWER);
  scene.clock.advance(1_000);
  assert.deepEqual(scene.executions(), [500], 'at the deadline');
});

test('a failed answer is final if the request is not idempotent, under load and when time is short', () => {
  const once = new Scene({ idempotent: false });
  once.endAttempt(FAILED_ANSWER);
  const loaded = new Scene();
  const load = { inFlight: 1, queued: 1, limit: 1, latencyMs: 1, threshold: 0.1 };
  loaded.endAttempt({ ...FAILED_ANSWER, load });
  const late = new Scene();
  late.clock.advance(600);
  late.endAttempt(FAILED_ANSWER);
  const other = new Scene();
  other.endAttempt({ ...FAILED_ANSWER, status: 504 });
  for (const scene of [once, loaded, late, other]) assert.equal(scene.sent.length, 1);
  assert.deepEqual(once.executions(), [500]);
});

test('a request during which targets crashed is not retried, and its execution is unknown', () => {
  const scene = new Scene({ mayRetry: false });
  scene.endAttempt(failed('failed', true));
  assert.equal(scene.sent.length, 1);
  assert.deepEqual(scene.executions(), ['unknown']);
});

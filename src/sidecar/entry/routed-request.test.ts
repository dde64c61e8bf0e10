/** A request with a scripted router, targets and clock. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AttemptReport, PickResult, ServiceRouter } from '../../core/overload.js';
import type { AttemptOutcome, RequestContext } from '../../core/request.js';
import { ResultCode } from '../../core/result-code.js';
import { ManualClock } from '../../kernel/clock.js';
import { createNotOffered } from '../link/attempt-port.js';
import type { AttemptCall, AttemptEnd } from '../link/link-messages.js';
import { RepeatBudget } from './repeat-budget.js';
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

/** One request under test; `targets` says which nodes are known. */
class Scene {
  readonly clock = new ManualClock();
  readonly reports: AttemptReport[] = [];
  readonly sent: AttemptCall[] = [];
  readonly ends: RequestEnd[] = [];
  cancelled = 0;
  endTry: (end: AttemptEnd) => void = () => {};
  readonly request: RoutedRequest;

  constructor(
    overrides: {
      idempotent?: boolean;
      known?: boolean;
      mayHaveRun?: boolean;
      mayRepeat?: boolean;
    } = {},
  ) {
    const { idempotent = true, known = true, mayHaveRun = true, mayRepeat = true } = overrides;
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
        repeats: new RepeatBudget({ ratio: 0, windowMs: 10_000, slack: 0 }),
        noteTryStart: () => {},
        noteTryEnd: () => {},
      },
      clock: this.clock,
      repeatSlack: 5,
      mayRepeat: () => mayRepeat,
      portOf: () =>
        known
          ? {
              dispatch: (call, onEnd) => {
                this.sent.push(call);
                this.endTry = onEnd;
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

test('an answer ends the request, and routing hears of it', () => {
  const scene = new Scene();
  scene.endTry(ANSWER);
  assert.deepEqual(scene.executions(), [200]);
  assert.deepEqual(scene.outcomes(), ['success']);
});

test('routing hears of the end of a try whose caller went away', () => {
  const scene = new Scene();
  scene.request.cancel();
  scene.endTry(ANSWER);
  assert.deepEqual([scene.cancelled, scene.ends.length], [1, 0]);
  assert.deepEqual(scene.outcomes(), ['cancelled']);
});

test('routing hears of the end of a try at the deadline', () => {
  const scene = new Scene();
  scene.clock.advance(1_000);
  assert.deepEqual(scene.executions(), ['unknown']);
  assert.deepEqual(scene.outcomes(), ['timeout']);
});

test('a try that never left is not run at the deadline, and no fault of its target', () => {
  const scene = new Scene({ mayHaveRun: false });
  scene.clock.advance(1_000);
  assert.deepEqual(scene.executions(), ['not-run']);
  assert.deepEqual(scene.outcomes(), ['cancelled']);
});

test('a node that is not known any more ends the try at once', () => {
  const scene = new Scene({ known: false });
  assert.deepEqual(scene.executions(), ['not-run']);
});

test('a repeatable request is sent to at most so many targets', () => {
  const scene = new Scene();
  scene.endTry(failed('failed', true));
  scene.endTry(failed('failed', true));
  assert.equal(scene.sent.length, 2);
  assert.deepEqual(scene.executions(), ['unknown']);
});

test('a request that may have run and is not repeatable is not sent again', () => {
  const scene = new Scene({ idempotent: false });
  scene.endTry(failed('failed', true));
  assert.equal(scene.sent.length, 1);
  assert.deepEqual(scene.executions(), ['unknown']);
});

test('refusals for load lead to one more node only, leaving targets to others', () => {
  const loaded = new Scene({ idempotent: false });
  for (let count = 0; count < 2; count += 1) loaded.endTry(failed('overloaded', false));
  assert.equal(loaded.sent.length, 2);
  assert.deepEqual(loaded.executions(), ['not-run']);
  const leaving = new Scene({ idempotent: false });
  const end = createNotOffered('draining', ResultCode.NoTargetAvailable, 'leaving');
  for (let count = 0; count < 5; count += 1) leaving.endTry(end);
  assert.equal(leaving.sent.length, 6);
  leaving.endTry(ANSWER);
  assert.deepEqual(leaving.executions(), [200]);
});

test('a failure of its target sends a repeatable request to another', () => {
  const scene = new Scene();
  scene.endTry(FAILED_ANSWER);
  assert.equal(scene.sent.length, 2);
  assert.equal(scene.sent[1]!.repeated, true);
  scene.endTry(ANSWER);
  assert.deepEqual(scene.executions(), [200]);
});

test('when the other try fails as well, the first answer stands', () => {
  for (const end of [FAILED_ANSWER, failed('failed', true), failed('overloaded', false)]) {
    const scene = new Scene();
    scene.endTry(FAILED_ANSWER);
    for (let count = 0; count < 5; count += 1) scene.endTry(end);
    assert.deepEqual(scene.executions(), [500]);
  }
  const scene = new Scene();
  scene.endTry(FAILED_ANSWER);
  scene.clock.advance(1_000);
  assert.deepEqual(scene.executions(), [500], 'at the deadline');
});

test('a failure of a target is final for what may run once, under load and without time', () => {
  const once = new Scene({ idempotent: false });
  once.endTry(FAILED_ANSWER);
  const loaded = new Scene();
  const load = { inFlight: 1, queued: 1, limit: 1, latencyMs: 1, threshold: 0.1 };
  loaded.endTry({ ...FAILED_ANSWER, load });
  const late = new Scene();
  late.clock.advance(600);
  late.endTry(FAILED_ANSWER);
  const other = new Scene();
  other.endTry({ ...FAILED_ANSWER, status: 504 });
  for (const scene of [once, loaded, late, other]) assert.equal(scene.sent.length, 1);
  assert.deepEqual(once.executions(), [500]);
});

test('a request under which targets ended is not sent to another, and is said to have maybe run', () => {
  const scene = new Scene({ mayRepeat: false });
  scene.endTry(failed('failed', true));
  assert.equal(scene.sent.length, 1);
  assert.deepEqual(scene.executions(), ['unknown']);
});

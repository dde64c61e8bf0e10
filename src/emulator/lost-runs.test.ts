/**
 * Guards against lost runs in a wide call graph whose last service has capacity for two thirds of
 * the demand. A request runs at three other services before it calls the last one; when that one
 * refuses it, the runs at the others are lost.
 */
import assert from 'node:assert/strict';
import { before, test } from 'node:test';
import type { RunResult } from './run-result.js';
import { runScenario } from './run-scenario.js';
import { parseScenario, type Scenario } from './scenario.js';

const SCENARIO = `
apiVersion: sillshore/v1
name: lost-runs
deployment: mesh
nodesPerZone: one-per-target
subsets: true
durationMs: 6000
warmUpMs: 3500
seeds: [1]
policies: [adaptive, adaptive-without-lost-runs]
load: { ratesPerSecond: { script-step: 813, promise-log: 1008, call-pack: 139.5, faq-read: 748.5 } }
callers: { tries: 2, honoursRetryAfter: true }
`;
/** Maximum share of the started requests that may fail downstream. */
const MAX_LOST_SHARE = 0.01;

let adaptiveRun: RunResult;
let variantRun: RunResult;

before(() => {
  const scenario = parseScenario(SCENARIO).unwrapOr(undefined) as Scenario;
  adaptiveRun = runScenario(scenario, 'adaptive', 1);
  variantRun = runScenario(scenario, 'adaptive-without-lost-runs', 1);
});

function endsOfSteps({ kinds }: RunResult): { lost: number; complete: number; lostShare: number } {
  const { failed, complete } = kinds.find(({ kind }) => kind === 'script-step')!.ends;
  return { lost: failed, complete, lostShare: failed / (failed + complete) };
}

function describeCounts(): string {
  const [one, other] = [endsOfSteps(adaptiveRun), endsOfSteps(variantRun)];
  return `${one.lost} lost and ${one.complete} complete, ${other.lost} and ${other.complete} without`;
}

test('fewer than half as many started runs are lost, and no fewer requests complete', () => {
  assert.ok(endsOfSteps(adaptiveRun).lost < endsOfSteps(variantRun).lost / 2, describeCounts());
  assert.ok(adaptiveRun.goodputRatio >= variantRun.goodputRatio, describeCounts());
});

test('more important requests are served as before', () => {
  assert.ok(
    adaptiveRun.criticalRatio >= variantRun.criticalRatio - MAX_LOST_SHARE,
    describeCounts(),
  );
});

test('started requests complete while the last service of a wide call graph is overloaded', () => {
  assert.ok(endsOfSteps(adaptiveRun).lostShare <= MAX_LOST_SHARE, describeCounts());
});

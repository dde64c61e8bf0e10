import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { runScenario } from './run-scenario.js';
import { parseScenario, type Scenario } from './scenario.js';

const POLICIES = ['none', 'fixed', 'aimd', 'adaptive'];

function scenarioOf(text: string): Scenario {
  const parsed = parseScenario(text);
  if (parsed.isErr) assert.fail(JSON.stringify(parsed.error));
  return parsed.value;
}

/** One short run with every type of fault and caller retries. */
const EVERYTHING = scenarioOf(`
apiVersion: sillshore/v1
name: everything
deployment: recife
nodesPerZone: 2
durationMs: 4000
warmUpMs: 500
policies: [none]
load: { multiple: 1.2, surges: [{ fromMs: 1000, toMs: 2000, multiple: 2 }] }
callers: { tries: 4, tryTimeoutShare: 0.4, backoffMs: 5 }
machineListLagMs: 500
faults:
  - { type: slow, service: recording-archive, fromMs: 1000, toMs: 2000, factor: 4 }
  - { type: death, service: objection-answers, target: objection-answers-1, fromMs: 1200, toMs: 2200 }
  - { type: drain, service: promise-ledger, target: promise-ledger-2, fromMs: 1200, toMs: 3000, graceMs: 200 }
  - { type: zone-loss, zone: olinda, fromMs: 1500, toMs: 2500 }
  - { type: platform-outage, fromMs: 1000, toMs: 3000 }
  - { type: shedding, service: script-guide, fromMs: 500, toMs: 3500, queueAbove: 5 }
  - { type: misleading-health, service: objection-answers, target: objection-answers-2, fromMs: 2000, toMs: 3000, mode: looks-healthy }
  - { type: misleading-health, service: objection-answers, target: objection-answers-3, fromMs: 2000, toMs: 3000, mode: looks-down }
  - { type: lost-answers, service: promise-ledger, target: promise-ledger-1, fromMs: 1000, toMs: 3000, share: 0.3 }
`);

for (const policy of POLICIES) {
  test(`${policy}: the same seed gives the same result byte for byte, another seed a different one`, () => {
    const first = JSON.stringify(runScenario(EVERYTHING, policy, 7));
    assert.equal(JSON.stringify(runScenario(EVERYTHING, policy, 7)), first);
    assert.notEqual(JSON.stringify(runScenario(EVERYTHING, policy, 8)), first);
  });

  test(`${policy}: every request that was sent has exactly one end`, () => {
    for (const kind of runScenario(EVERYTHING, policy, 7).kinds) {
      const ends = Object.values(kind.ends).reduce((sum, count) => sum + count, 0);
      assert.ok(kind.sent > 0, kind.kind);
      assert.equal(ends, kind.sent, kind.kind);
    }
  });
}

test('adaptive never exceeds the attempts of a kind', () => {
  for (const kind of runScenario(EVERYTHING, 'adaptive', 7).kinds) {
    assert.ok(kind.maxAttempts <= kind.attemptsBound, `${kind.kind}: ${kind.maxAttempts}`);
  }
});

test('without overload nothing is refused and one attempt per call suffices', () => {
  const calm = { ...EVERYTHING, load: { multiple: 0.4, surges: [] }, faults: [] };
  const result = runScenario(calm, 'adaptive', 7);
  for (const { kind, ends, sent } of result.kinds) assert.equal(ends.complete, sent, kind);
  assert.deepEqual(result.refusals, {});
  assert.equal(result.attemptsPerCall, 1);
});

test('after a surge with a slow deep service, policy adaptive recovers and policy none does not', () => {
  const text = readFileSync('examples/experiments/recife-slow-deep.yaml', 'utf8');
  const full = scenarioOf(text);
  const short = {
    ...full,
    durationMs: 12_000,
    load: { multiple: 0.7, surges: [{ fromMs: 4_000, toMs: 7_000, multiple: 1.5 }] },
    faults: full.faults.map((fault) => ({ ...fault, fromMs: 4_000, toMs: 7_000 })),
  };
  assert.equal(runScenario(short, 'none', 1).recoveryMs, null);
  const { recoveryMs } = runScenario(short, 'adaptive', 1);
  assert.ok(typeof recoveryMs === 'number' && recoveryMs <= 2_000, `recovery ${recoveryMs}`);
});

/** Requests of a kind that did not complete. */
function countLost(scenario: Scenario, policy: string, kind: string): number {
  const result = runScenario(scenario, policy, 1);
  const { ends, sent } = result.kinds.find((row) => row.kind === kind)!;
  return sent - (ends.complete ?? 0);
}

test('with one node per target, a target that loses answers gets fewer requests', () => {
  const text = readFileSync('examples/experiments/sidecars-lost-answers.yaml', 'utf8');
  const scenario = scenarioOf(text);
  const kind = 'deployment-trigger';
  const lost = countLost(scenario, 'adaptive', kind);
  assert.ok(lost > 0);
  assert.ok(lost < 0.8 * countLost(scenario, 'adaptive-ejection-alone', kind));
});

test('with one node per target and no overload, every request completes', () => {
  const calm = { ...EVERYTHING, load: { multiple: 0.4, surges: [] }, faults: [] };
  const result = runScenario({ ...calm, nodesPerZone: 'one-per-target' }, 'adaptive', 7);
  for (const { kind, ends, sent } of result.kinds) assert.equal(ends.complete, sent, kind);
});

test('with one node per target, requests go to the other targets while two state request limits', () => {
  const text = readFileSync('examples/experiments/sidecars-stated-limit.yaml', 'utf8');
  const scenario = scenarioOf(text);
  const limited = scenario.faults.filter((fault) => fault.toMs <= 8_000);
  const result = runScenario({ ...scenario, durationMs: 8_000, faults: limited }, 'adaptive', 1);
  for (const { kind, ends, sent } of result.kinds) {
    const complete = ends.complete ?? 0;
    assert.ok(complete >= 0.99 * sent, `${kind}: ${complete} of ${sent}`);
  }
});

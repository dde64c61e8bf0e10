/**
 * Random schedules of faults, with several faults at a time and the same one twice; fixed seeds.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { readExampleDeployment } from './example-deployments.js';
import type { KindResult } from './run-result.js';
import { runScenario } from './run-scenario.js';
import { validateScenario } from './scenario.js';

const RUNS = 25;
const DURATION_MS = 2_000;

const RECIFE = readExampleDeployment('recife');
const services = RECIFE.services.map(({ name }) => name);
const zones = RECIFE.zones.map(({ name }) => name);

const period = fc
  .record({
    fromMs: fc.integer({ min: 0, max: 1_500 }),
    lengthMs: fc.integer({ min: 1, max: 900 }),
  })
  .map(({ fromMs, lengthMs }) => ({ fromMs, toMs: fromMs + lengthMs }));

/** All targets of a service, or one of them. */
const targets = fc
  .tuple(fc.constantFrom(...services), fc.option(fc.integer({ min: 1, max: 3 })))
  .map(([service, index]) =>
    index === null ? { service } : { service, target: `${service}-${index}` },
  );

const warmUp = fc.record({ coldFactor: fc.constantFrom(1, 3), warmUpMs: fc.constantFrom(0, 500) });

const fault: fc.Arbitrary<unknown> = fc.oneof(
  fc.tuple(period, targets).map(([when, what]) => ({ type: 'slow', factor: 6, ...when, ...what })),
  fc.tuple(period, targets, warmUp).map(([when, what, cold]) => ({
    type: 'death',
    ...when,
    ...what,
    ...cold,
  })),
  fc.tuple(period, targets, warmUp, fc.constantFrom(0, 200)).map(([when, what, cold, graceMs]) => ({
    type: 'drain',
    graceMs,
    ...when,
    ...what,
    ...cold,
  })),
  fc.tuple(period, targets).map(([when, what]) => ({
    type: 'shedding',
    queueAbove: 0,
    ...when,
    ...what,
  })),
  fc.tuple(period, fc.constantFrom(...zones), warmUp).map(([when, zone, cold]) => ({
    type: 'zone-loss',
    zone,
    ...when,
    ...cold,
  })),
  period.map((when) => ({ type: 'platform-outage', ...when })),
  fc
    .tuple(period, targets, fc.constantFrom('looks-healthy', 'looks-down'))
    .map(([when, what, mode]) => ({ type: 'misleading-health', mode, ...when, ...what })),
);

function createScenario(faults: readonly unknown[], multiple: number) {
  return validateScenario({
    apiVersion: 'sillshore/v1',
    name: 'random',
    deployment: 'recife',
    durationMs: DURATION_MS,
    warmUpMs: 0,
    policies: ['adaptive'],
    load: { multiple },
    callers: { tries: 4, tryTimeoutShare: 0.4, backoffMs: 5 },
    machineListLagMs: 300,
    failureDetectionMs: 200,
    gossipMs: 100,
    faults,
  });
}

/** Checks every kind of each random run; the seed is fixed. */
function checkRuns(policy: string, check: (kind: KindResult) => void): void {
  const property = fc.property(
    fc.array(fault, { minLength: 1, maxLength: 5 }),
    fc.constantFrom(0.2, 0.6),
    fc.integer({ min: 1, max: 1_000 }),
    (faults, multiple, seed) => {
      const scenario = createScenario(faults, multiple);
      if (scenario.isErr) assert.fail(JSON.stringify(scenario.error));
      for (const kind of runScenario(scenario.value, policy, seed).kinds) check(kind);
    },
  );
  fc.assert(property, { numRuns: RUNS, seed: 20_261_202 });
}

function checkBound({ kind, maxAttempts, attemptsBound }: KindResult): void {
  assert.ok(maxAttempts <= attemptsBound, `${kind}: ${maxAttempts} attempts`);
}

for (const policy of ['none', 'adaptive']) {
  test(`${policy}: each request has one end whatever fails`, () => {
    checkRuns(policy, ({ kind, ends, sent }) => {
      const ended = Object.values(ends).reduce((sum, count) => sum + count, 0);
      assert.equal(ended, sent, kind);
    });
  });
}

test('adaptive: no kind exceeds its bound on attempts whatever fails', () => {
  checkRuns('adaptive', checkBound);
});

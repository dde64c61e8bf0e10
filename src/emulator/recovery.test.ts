import assert from 'node:assert/strict';
import { test } from 'node:test';
import { causePeriod, phasesOf } from './phases.js';
import { readExampleDeployment } from './example-deployments.js';
import { listedAt } from './faults.js';
import { recoveryTime } from './recovery.js';
import { parseScenario, type Scenario } from './scenario.js';

const TIMES = { warmUpMs: 1_000, causeStartMs: 2_000, causeEndMs: 3_000 };
const WINDOWS = 80;

/** Goodput of 100 in each window, and of `during` from 2 s to `backAtMs`. */
function seriesWithDip(backAtMs: number, during: number) {
  const complete = Array.from({ length: WINDOWS }, (_, window) => {
    const at = window * 100;
    return at >= 2_000 && at < backAtMs ? during : 100;
  });
  return { sent: complete.map(() => 100), complete };
}

const CASES: [string, number, number, number | undefined][] = [
  ['no dip', 3_000, 100, 0],
  ['a dip that ends with its cause adds only the delay of the smoothing', 3_000, 0, 200],
  ['a dip that outlasts its cause', 4_000, 50, 1_200],
  ['a small dip below 95 % counts', 4_000, 90, 1_000],
  ['a dip above 95 % does not', 4_000, 96, 0],
  ['goodput never recovers', 8_000, 50, undefined],
];

for (const [name, backAtMs, during, expected] of CASES) {
  test(`recovery: ${name}`, () => {
    assert.equal(recoveryTime(seriesWithDip(backAtMs, during), TIMES), expected);
  });
}

test('a brief return of goodput is not recovery', () => {
  const { sent, complete } = seriesWithDip(8_000, 50);
  complete.fill(100, 35, 42);
  assert.equal(recoveryTime({ sent, complete }, TIMES), undefined);
});

const SCENARIO = parseScenario(`
apiVersion: sillshore/v1
name: x
deployment: recife
durationMs: 10000
warmUpMs: 1000
machineListLagMs: 500
policies: [none]
load: { surges: [{ fromMs: 2000, toMs: 3000, multiple: 2 }] }
faults:
  - { type: death, service: script-guide, target: script-guide-1, fromMs: 2500, toMs: 4000, warmUpMs: 1000 }
  - { type: platform-outage, fromMs: 2800, toMs: 9000 }
`).unwrapOr(undefined) as Scenario;

test('the cause lasts until the targets are warm; a platform outage is no cause', () => {
  assert.deepEqual(causePeriod(SCENARIO), { fromMs: 2_000, toMs: 5_000 });
});

test('the list of machines lags, and is not updated during an outage', () => {
  assert.equal(listedAt(SCENARIO, 2_000), 2_500);
  assert.equal(listedAt(SCENARIO, 2_500), 9_000);
  assert.equal(listedAt(SCENARIO, 9_000), 9_500);
});

test('a phase starts whenever conditions change', () => {
  const phases = phasesOf(SCENARIO, readExampleDeployment('recife'));
  const slots = phases.map(({ fromMs, conditions }) => [
    fromMs,
    conditions.get('script-guide')?.slots,
  ]);
  assert.deepEqual(slots, [
    [1_000, 36],
    [2_000, 36],
    [2_500, 24],
    [2_800, 24],
    [3_000, 24],
    [4_000, 36],
    [4_500, 36],
    [5_000, 36],
    [9_000, 36],
  ]);
  assert.ok(phases[5]!.conditions.get('script-guide')!.slowdown > 1);
});

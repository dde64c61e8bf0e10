import assert from 'node:assert/strict';
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { runCaptured } from '../../test/support/command-line.js';
import { runExperiment } from './experiment.js';
import { encodeResult } from './experiment-files.js';
import { parseScenario, type Scenario } from './scenario.js';
import { createSyntheticFleet } from './synthetic-fleet.js';

const TEXT = `
apiVersion: sillshore/v1
name: small
deployment: recife
durationMs: 1000
warmUpMs: 200
seeds: [1, 2]
policies: [none, adaptive]
load: { multiple: 0.3, surges: [{ fromMs: 400, toMs: 600, multiple: 1 }] }
`;

const SCENARIO = parseScenario(TEXT).unwrapOr(undefined) as Scenario;

test('an experiment gives the same result with any number of jobs', async () => {
  const progress: number[] = [];
  const one = await runExperiment(SCENARIO, 1, (done) => progress.push(done));
  const three = await runExperiment(SCENARIO, 3, () => {});
  assert.equal(encodeResult(three), encodeResult(one));
  assert.deepEqual(progress, [1, 2, 3, 4]);
  assert.deepEqual(
    one.summary.map(({ policy, seeds }) => [policy, seeds]),
    [
      ['none', 2],
      ['adaptive', 2],
    ],
  );
});

function scratchDirectory(context: TestContext): string {
  const directory = mkdtempSync(join(tmpdir(), 'sillshore-experiment-'));
  context.after(() => {
    rmSync(directory, { recursive: true });
  });
  return directory;
}

test('experiment run prints a table and writes raw results and plots', async (context) => {
  const directory = scratchDirectory(context);
  const file = join(directory, 'small.yaml');
  writeFileSync(file, TEXT);
  const out = join(directory, 'out');
  const argv = ['experiment', 'run', file, '--policy', 'none', '--seeds', '1', '--out', out];
  const { exitCode, stdout, stderr } = await runCaptured(argv);
  assert.equal(exitCode, 0, stderr);
  assert.match(stdout, /\| policy +\| goodput\/bound/);
  assert.match(stdout, /\| none +\| script-step/);
  assert.match(stderr, /^1\/1 none seed 1: \d+ events/m);
  const files = readdirSync(out).sort();
  assert.deepEqual(files, ['small-goodput.svg', 'small-time.svg', 'small.json']);
  assert.match(readFileSync(join(out, 'small-time.svg'), 'utf8'), /^<svg/);
});

test('experiment run reports every error of a scenario and exits with 2', async (context) => {
  const file = join(scratchDirectory(context), 'wrong.yaml');
  writeFileSync(file, TEXT.replace('recife', 'oslo').replace('1000', 'long'));
  const { exitCode, stderr } = await runCaptured(['experiment', 'run', file]);
  assert.equal(exitCode, 2);
  assert.match(stderr, /error 4009/);
  assert.match(stderr, /deployment: /);
  assert.match(stderr, /durationMs: /);
});

const SHAPE = { regions: 2, fanOut: 1, kinds: 8, seed: 1 };

test('synthetic fleets have the requested size', () => {
  for (const size of [
    { targets: 1_000, services: 80, zones: 7, depth: 9 },
    { targets: 10, services: 3, zones: 1, depth: 2 },
  ]) {
    const fleet = createSyntheticFleet({ ...SHAPE, ...size });
    const targets = fleet.services.flatMap((service) => service.targets);
    assert.equal(fleet.services.length, size.services);
    assert.equal(targets.length, size.targets);
    assert.equal(new Set(targets.map(({ zone }) => zone)).size, size.zones);
    assert.ok(fleet.kinds.every(({ root }) => root.size === size.depth));
  }
});

test('call trees of a synthetic fleet with fan-out are bounded', () => {
  const shape = { ...SHAPE, targets: 100, services: 40, zones: 3, depth: 9, fanOut: 3 };
  for (const { root } of createSyntheticFleet(shape).kinds) {
    assert.ok(root.size > 9 && root.size <= 24, `${root.size} calls`);
  }
});

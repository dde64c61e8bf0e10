/**
 * Runs soak seeds. Logs and schedules of failed seeds are kept in `soak-failures/`; the exit code is 1
 * when any seed failed.
 *
 *   node dist/test/soak/soak-main.js [first seed] [seeds] [concurrent runs] [machines]
 *   node dist/test/soak/soak-main.js drills [first seed] ...    the same with drills
 *   node dist/test/soak/soak-main.js statements [first seed] ...  the same with statements of targets
 *   node dist/test/soak/soak-main.js silences [first seed] ...  the same with silences of open connections
 *   node dist/test/soak/soak-main.js spoils [first seed] ...    the same with spoiled answers of targets
 *   node dist/test/soak/soak-main.js limits [first seed] ...    the same with limits of tenants
 *   node dist/test/soak/soak-main.js crowds [first seed] ...    the same with crowds of clients beyond the limits
 *   node dist/test/soak/soak-main.js floods [first seed] ...    the same with servers that send without end, and
 *                                                               with disturbed starts
 *   node dist/test/soak/soak-main.js failed                     the seeds in failed-seeds.ts
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { FAILED_SEEDS, LONG_RUN, SILENCE_RUN, type FailedSeed } from './failed-seeds.js';
import { runSoak, type SoakOptions, type SoakResult } from './soak-run.js';

const FAILURES_DIRECTORY = 'soak-failures';

const runsFailedSeeds = process.argv[2] === 'failed';
const EXTRAS: Readonly<Record<string, Partial<SoakOptions>>> = {
  drills: { drills: true },
  statements: { statements: true },
  silences: SILENCE_RUN,
  spoils: { spoils: true },
  limits: { limits: true },
  crowds: { crowds: true },
  floods: { floods: true },
};
const extras = EXTRAS[process.argv[2] ?? ''];
const [first = 1, count = 1, concurrency = 1, machines = LONG_RUN.machines] = runsFailedSeeds
  ? []
  : process.argv.slice(extras === undefined ? 2 : 3).map(Number);
const seeds: readonly Pick<FailedSeed, 'seed' | 'options'>[] = runsFailedSeeds
  ? FAILED_SEEDS
  : Array.from({ length: count }, (_, index) => ({ seed: first + index, options: extras ?? {} }));
const pendingSeeds = [...seeds];
let failed = 0;

async function runSeeds(): Promise<void> {
  for (let next = pendingSeeds.shift(); next !== undefined; next = pendingSeeds.shift()) {
    const { seed, options } = next;
    report(seed, await runSoak({ ...LONG_RUN, ...options, machines, seed }));
  }
}

function report(seed: number, result: SoakResult): void {
  const { violations, requests, answered, served, runs, actions } = result;
  const counts = `${requests} requests, ${answered} answered, ${served} served, ${runs} runs`;
  const verdict = violations.length === 0 ? 'passed' : `FAILED (${violations.length})`;
  console.log(`seed ${seed}: ${verdict}; ${actions.length} actions, ${counts}`);
  if (violations.length === 0) return;
  failed += 1;
  for (const { promise, detail } of violations.slice(0, 10)) console.log(`  ${promise}: ${detail}`);
  saveFailure(seed, result);
}

function saveFailure(seed: number, { violations, actions, logs }: SoakResult): void {
  const directory = join(FAILURES_DIRECTORY, `seed-${seed}-${machines}`);
  mkdirSync(directory, { recursive: true });
  writeFileSync(join(directory, 'run.json'), JSON.stringify({ violations, actions }, null, 2));
  for (const [machine, log] of logs) writeFileSync(join(directory, `${machine}.log`), log);
}

await Promise.all(Array.from({ length: concurrency }, runSeeds));
console.log(`${seeds.length - failed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);

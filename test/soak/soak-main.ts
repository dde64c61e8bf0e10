/**
 * Runs soak seeds: `node dist/test/soak/soak-main.js [first seed] [seeds] [side by side] [machines]`,
 * or those that failed once: `... failed`; with drills: `... drills [first seed] ...`.
 * Logs and schedules of failed seeds stay in `soak-failures/`; the exit code is 1 when any failed.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { FAILED_SEEDS, LONG_RUN } from './failed-seeds.js';
import { runSoak, type SoakResult } from './soak-run.js';

const FAILURES = 'soak-failures';

const isOfFailed = process.argv[2] === 'failed';
const drills = process.argv[2] === 'drills';
const [first = 1, count = 1, sideBySide = 1, machines = LONG_RUN.machines] = isOfFailed
  ? []
  : process.argv.slice(drills ? 3 : 2).map(Number);
const seeds = isOfFailed
  ? FAILED_SEEDS.map(({ seed }) => seed)
  : Array.from({ length: count }, (_, index) => first + index);
const waiting = [...seeds];
let failed = 0;

async function runSeeds(): Promise<void> {
  for (let seed = waiting.shift(); seed !== undefined; seed = waiting.shift()) {
    report(seed, await runSoak({ ...LONG_RUN, machines, seed, drills }));
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
  keep(seed, result);
}

function keep(seed: number, { violations, actions, logs }: SoakResult): void {
  const directory = join(FAILURES, `seed-${seed}-${machines}`);
  mkdirSync(directory, { recursive: true });
  writeFileSync(join(directory, 'run.json'), JSON.stringify({ violations, actions }, null, 2));
  for (const [machine, log] of logs) writeFileSync(join(directory, `${machine}.log`), log);
}

await Promise.all(Array.from({ length: sideBySide }, runSeeds));
console.log(`${seeds.length - failed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);

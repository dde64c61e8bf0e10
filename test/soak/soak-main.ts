/**
 * Runs soak seeds: `node dist/test/soak/soak-main.js [first seed] [seeds] [side by side] [machines]`.
 * Logs and schedules of failed seeds stay in `soak-failures/`; the exit code is 1 when any failed.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { runSoak, type SoakResult } from './soak-run.js';

const FAILURES = 'soak-failures';
const LENGTH_MS = 15_000;
const CALLERS_PER_MACHINE = 4;

const [first = 1, seeds = 1, sideBySide = 1, machines = 6] = process.argv.slice(2).map(Number);
let next = first;
let failed = 0;

async function runSeeds(): Promise<void> {
  while (next < first + seeds) {
    const seed = next;
    next += 1;
    const result = await runSoak({
      ...{ seed, machines, callersPerMachine: CALLERS_PER_MACHINE, lengthMs: LENGTH_MS },
    });
    report(seed, result);
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
console.log(`${seeds - failed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);

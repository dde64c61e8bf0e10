#!/usr/bin/env node
/**
 * Runs the days (scenarios) of deploy/days on the users' bench, several at a time, and
 * prints the broken rules.
 *
 * Usage: node scripts/play-days.mjs --bench PROGRAM --site FILE [--jobs N] [--only NAME] --why TEXT
 *
 * The output of each day goes to out/days/. The exit code is 1 when a rule was broken or a day could
 * not be run.
 */
import { spawn } from 'node:child_process';
import { createWriteStream, mkdirSync, readFileSync, readdirSync } from 'node:fs';
import { basename, join } from 'node:path';
import { finished } from 'node:stream/promises';
import { parseArgs } from 'node:util';

const DAYS = 'deploy/days';
const OUTPUT = 'out/days';
/** Lines to print: a day's row of figures, broken rules, and the bench's remarks. */
const VERDICT = /\d+\/\d+ +\d\.\d\d |BROKEN|^rules broken|^- /;
/** Marks a day on which a rule was broken, or which could not be run to its end. */
const BROKEN = /BROKEN/;

const { values } = parseArgs({
  options: {
    bench: { type: 'string' },
    site: { type: 'string' },
    jobs: { type: 'string', default: '2' },
    only: { type: 'string' },
    why: { type: 'string' },
  },
});
const { bench, site, only, why } = values;
if (bench === undefined || site === undefined || why === undefined) {
  console.error('--bench, --site and --why are required');
  process.exit(2);
}

const days = readdirSync(DAYS)
  .filter((file) => file.endsWith('.toml'))
  .filter((file) => only === undefined || file === `${only}.toml`);
mkdirSync(OUTPUT, { recursive: true });
let failed = false;
await Promise.all(Array.from({ length: Number(values.jobs) }, playNext));
process.exitCode = failed ? 1 : 0;

async function playNext() {
  for (let day = days.shift(); day !== undefined; day = days.shift()) await play(day);
}

async function play(day) {
  const name = `${basename(site, '.toml')}-${basename(day, '.toml')}`;
  const path = join(OUTPUT, `${name}.txt`);
  const output = createWriteStream(path);
  const argv = ['run', site, join(DAYS, day), '--why', `${why} (own day ${day})`];
  const child = spawn(bench, argv, { stdio: ['ignore', 'pipe', 'pipe'] });
  child.stdout.pipe(output, { end: false });
  child.stderr.pipe(output, { end: false });
  const exitCode = await new Promise((resolve) => child.on('close', resolve));
  output.end();
  await finished(output);
  const text = readFileSync(path, 'utf8');
  if (exitCode !== 0 || BROKEN.test(text)) failed = true;
  console.log(`== ${name}: exit code ${exitCode}`);
  const lines = text.split('\n');
  for (const line of lines) if (VERDICT.test(line)) console.log(`  ${line}`);
}

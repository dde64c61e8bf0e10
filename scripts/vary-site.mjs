#!/usr/bin/env node
/**
 * Generates variations of a deployment for the users' bench, to run days on deployments that nobody
 * has written: fewer slots, reversed priorities, a service with one target, ...
 *
 * Usage: node scripts/vary-site.mjs --site FILE [--out DIRECTORY] [--only NAME]
 *
 * Writes one site file per variation to the directory (out/sites) and prints their paths. Site files
 * are read line by line: one line describes one group of machines, one service or one kind of
 * request, as the users write them.
 */
import { copyFileSync, existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { basename, dirname, join } from 'node:path';
import { parseArgs } from 'node:util';

const OUTPUT = 'out/sites';
const COMPANIONS = ['wire.json', 'CUT'];
/** Number of the lowest rank that the users give to a kind of request. */
const LAST_PRIORITY = 2;

const isMachines = (line) => /^\s*\{ class = "side".* app = /.test(line);
const isService = (line) => /^\s*\{ name = .* slots = /.test(line);
const isRequest = (line) => /^\s*\{ name = .* work_ms = /.test(line);

/** Replaces the number after `key = `; `change` gets the number. */
function changeNumber(line, key, change) {
  return line.replace(new RegExp(`\\b${key} = ([0-9.]+)`), (_, number) => {
    return `${key} = ${change(Number(number))}`;
  });
}

/** Changes the mean and the largest size of bodies. */
function changeBytes(line, key, factor) {
  const sizes = new RegExp(`${key} = \\{ mean = ([0-9.]+)(.*?)max = ([0-9.]+)`);
  return line.replace(sizes, (_, mean, between, largest) => {
    return `${key} = { mean = ${Number(mean) * factor}${between}max = ${Number(largest) * factor}`;
  });
}

/** Service of the machines that a line describes. */
function serviceOf(line) {
  return / app = "([^"]+)"/.exec(line)?.[1];
}

const VARIATIONS = {
  /** Each target serves a third of the requests at once. */
  'few-slots': (lines) =>
    lines.map((line) =>
      isService(line) ? changeNumber(line, 'slots', (slots) => Math.ceil(slots / 3)) : line,
    ),
  /** The least important kinds of request become the most important. */
  'priorities-reversed': (lines) =>
    lines.map((line) =>
      isRequest(line)
        ? changeNumber(line, 'priority', (rank) => Math.max(0, LAST_PRIORITY - rank))
        : line,
    ),
  /** The service of the first machines has one target, in one zone. */
  'one-target': (lines) => {
    const machines = lines.filter(isMachines);
    const service = serviceOf(machines[0]);
    const [kept] = machines.filter((line) => serviceOf(line) === service);
    return lines
      .filter((line) => !isMachines(line) || serviceOf(line) !== service || line === kept)
      .map((line) => (line === kept ? changeNumber(line, 'count', () => 1) : line));
  },
  /** Targets accept few connections and take long to open one. */
  'few-connections': (lines) =>
    lines.map((line) => {
      if (!isService(line)) return line;
      const fewer = changeNumber(line, 'conn_cap', (connections) => Math.ceil(connections / 6));
      return changeNumber(fewer, 'handshake_ms', () => 5);
    }),
  /** Bodies of requests and responses are twenty times as long. */
  'long-bodies': (lines) =>
    lines.map((line) =>
      isRequest(line) ? changeBytes(changeBytes(line, 'req_bytes', 20), 'resp_bytes', 20) : line,
    ),
  /** Each downstream call is made twice as often. */
  'more-calls': (lines) =>
    lines.map((line) =>
      isRequest(line) ? changeNumber(line, 'times', (times) => times * 2) : line,
    ),
};

const { values } = parseArgs({
  options: {
    site: { type: 'string' },
    out: { type: 'string', default: OUTPUT },
    only: { type: 'string' },
  },
});
const { site, out, only } = values;
if (site === undefined || (only !== undefined && VARIATIONS[only] === undefined)) {
  console.error(`--site is required; variations: ${Object.keys(VARIATIONS).join(', ')}`);
  process.exit(2);
}

const lines = readFileSync(site, 'utf8').split('\n');
const days = site.replace(/\.toml$/, '.days');
for (const [name, vary] of Object.entries(VARIATIONS)) {
  if (only !== undefined && name !== only) continue;
  const directory = join(out, name);
  mkdirSync(directory, { recursive: true });
  for (const companion of COMPANIONS) {
    const path = join(dirname(site), companion);
    if (existsSync(path)) copyFileSync(path, join(directory, companion));
  }
  if (existsSync(days)) copyFileSync(days, join(directory, basename(days)));
  const varied = vary(lines);
  if (varied.join('\n') === lines.join('\n')) {
    console.error(`${name}: no line of ${site} was changed`);
    process.exitCode = 1;
  }
  const path = join(directory, basename(site));
  writeFileSync(path, varied.join('\n'));
  console.log(path);
}

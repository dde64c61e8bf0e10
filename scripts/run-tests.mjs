/**
 * Runs all tests with node:test and applies KNOWN-RED.txt: a listed test may fail and is
 * printed. Fails on any other failure, on a list that is too long, and when no test passed.
 */
import { once } from 'node:events';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

/** The list is to stay short; its entries are mended before anything new. */
const MAX_KNOWN_RED = 10;
/** Entries after {@link UNCOUNTED_MARK} are not counted; each must name one of these issues. */
const UNCOUNTED_ISSUES = ['issue 57', 'issue 60', 'issue 63'];
const UNCOUNTED_MARK = `# not counted: ${UNCOUNTED_ISSUES.join(', ')}`;
/** Such files run after all others, one at a time: they bound what a whole process holds. */
const ISOLATED_SUFFIX = '.isolated.test.js';
const TEST_TIMEOUT_MS = 180_000;
const CONCURRENCY = 4;
const ISOLATED_TIMEOUT_MS = 900_000;

function findTests(directory) {
  return readdirSync(directory, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.test.js'))
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name))
    .sort();
}

/** Lines are `test name, cause, issue`; the first field is the full test name. */
function readKnownRed() {
  if (!existsSync('KNOWN-RED.txt')) return { names: [], counted: 0 };
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  const markAt = lines.indexOf(UNCOUNTED_MARK);
  const isCounted = ({ text, index }) =>
    markAt < 0 || index < markAt || !UNCOUNTED_ISSUES.some((issue) => text.includes(issue));
  const entries = lines
    .map((text, index) => ({ text, index }))
    .filter(({ text }) => text.trim() !== '' && !text.startsWith('#'));
  return {
    names: entries.map(({ text }) => text.split(',')[0].trim()),
    counted: entries.filter(isCounted).length,
  };
}

const { names: knownRed, counted } = readKnownRed();
if (counted > MAX_KNOWN_RED) {
  console.error(`KNOWN-RED.txt lists ${counted} tests; ${MAX_KNOWN_RED} at most`);
  process.exit(1);
}

const filter = process.argv[2];
const files = findTests('dist').filter((file) => filter === undefined || file.includes(filter));
const failures = [];
const seen = new Set();
let passed = 0;

/** Runs files and collects the results of their tests. */
async function runFiles(selected, concurrency, timeout) {
  if (selected.length === 0) return;
  const stream = run({ files: selected, concurrency, timeout });
  stream.on('test:pass', (event) => {
    seen.add(event.name);
    if (event.details.type !== 'suite' && event.skip === undefined) passed += 1;
  });
  stream.on('test:fail', (event) => {
    seen.add(event.name);
    // A suite fails because a test in it failed; only the test itself counts.
    if (event.details.error?.failureType === 'subtestsFailed') return;
    failures.push(event.name);
  });
  const ended = once(stream, 'end');
  stream.compose(new spec()).pipe(process.stdout, { end: false });
  await ended;
}

const isIsolated = (file) => file.endsWith(ISOLATED_SUFFIX);
await runFiles(
  files.filter((file) => !isIsolated(file)),
  CONCURRENCY,
  TEST_TIMEOUT_MS,
);
await runFiles(files.filter(isIsolated), 1, ISOLATED_TIMEOUT_MS);

const unexpected = failures.filter((name) => !knownRed.includes(name));
const excused = failures.filter((name) => knownRed.includes(name));
for (const name of excused) console.log(`known red: ${name}`);
for (const name of unexpected) console.log(`failed: ${name}`);
const unknown = filter === undefined ? knownRed.filter((name) => !seen.has(name)) : [];
for (const name of unknown) console.log(`listed in KNOWN-RED.txt, but no such test: ${name}`);
console.log(`${passed} passed, ${unexpected.length} failed`);
process.exitCode = unexpected.length > 0 || unknown.length > 0 || passed === 0 ? 1 : 0;

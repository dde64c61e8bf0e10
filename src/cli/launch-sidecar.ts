/**
 * Starts the bundled program of the machines from its code cache, so that functions that a start and
 * a request need are not compiled again by each process. Without a usable cache the program is
 * compiled as usual. With `--write-code-cache FILE` before the command it writes the cache of all that
 * has run, at the end of the process.
 *
 * One start took 400 to 520 ms of processor time in its main thread before and 200 to 217 ms with the
 * cache (two profiles each). What requests cost after it did not change by more than the spread.
 */
import './early-signals.js';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Script } from 'node:vm';

const BUNDLE = join(__dirname, 'sillshore-sidecar.bundle.cjs');
const CACHE = `${BUNDLE}.cache`;
const WRITE_OPTION = '--write-code-cache';
/** Number of the event `CodeCacheUnused`; its catalogue is part of the bundle. */
const CODE_CACHE_UNUSED = 110;
const WARN_LEVEL = 40;
/** Where the arguments of the command begin. */
const FIRST_ARGUMENT = 2;

type ModuleFunction = (
  exports: object,
  require: NodeJS.Require,
  module: object,
  filename: string,
  dirname: string,
) => void;

/** Takes the option out of the arguments; undefined when the cache is to be used. */
function takeOutputFile(): string | undefined {
  if (process.argv[FIRST_ARGUMENT] !== WRITE_OPTION) return undefined;
  const [, file] = process.argv.splice(FIRST_ARGUMENT, 2);
  return file;
}

function readCache(): Buffer | undefined {
  try {
    return readFileSync(CACHE);
  } catch (error) {
    report((error as Error).message);
    return undefined;
  }
}

function report(detail: string): void {
  const line = { level: WARN_LEVEL, time: Date.now(), event: CODE_CACHE_UNUSED, detail };
  process.stdout.write(`${JSON.stringify({ ...line, msg: 'code cache not used' })}\n`);
}

const outputFile = takeOutputFile();
const cachedData = outputFile === undefined ? readCache() : undefined;
// The bundle is ASCII; one byte a character is read and held twice as cheaply as UTF-8.
const source = readFileSync(BUNDLE, 'latin1');
const script = new Script(
  `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
  { filename: BUNDLE, ...(cachedData === undefined ? {} : { cachedData }) },
);
if (script.cachedDataRejected === true) report('made by another version or with other flags');
if (outputFile !== undefined) {
  process.once('exit', () => {
    writeFileSync(outputFile, script.createCachedData());
  });
}
const run = script.runInThisContext() as ModuleFunction;
run(exports, require, module, BUNDLE, __dirname);

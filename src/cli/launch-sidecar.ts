/**
 * Starts the bundled sidecar program from its code cache, so that processes do not each compile the
 * functions that the start and requests need. Without a usable cache the program is compiled as
 * usual. With `--write-code-cache FILE` before the command, the process writes the cache of all
 * functions that have run at its exit.
 *
 * A start takes 400 to 520 ms of CPU time in its main thread without the cache and 200 to 217 ms
 * with it (two profiles each). What requests cost afterwards differs by no more than the spread.
 */
import './early-signals.js';
import { readFileSync, writeFileSync, writeSync } from 'node:fs';
import { join } from 'node:path';
import { Script } from 'node:vm';

const BUNDLE = join(__dirname, 'sillshore-sidecar.bundle.cjs');
const CACHE = `${BUNDLE}.cache`;
const WRITE_OPTION = '--write-code-cache';
/** Number of the event `CodeCacheUnused`; its catalogue is part of the bundle. */
const CODE_CACHE_UNUSED = 110;
const WARN_LEVEL = 40;
const STANDARD_OUTPUT = 1;
/** Index in `process.argv` of the command's first argument. */
const FIRST_ARGUMENT = 2;

type ModuleFunction = (
  exports: object,
  require: NodeJS.Require,
  module: object,
  filename: string,
  dirname: string,
) => void;

/** Removes the option from the arguments and returns its file; undefined when the cache is used. */
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
  try {
    writeSync(STANDARD_OUTPUT, `${JSON.stringify({ ...line, msg: 'code cache not used' })}\n`);
  } catch {
    // The output refuses lines; the program starts without this one.
  }
}

const outputFile = takeOutputFile();
const cachedData = outputFile === undefined ? readCache() : undefined;
// The bundle is ASCII; as Latin-1, one byte a character, it costs half of UTF-8 to read and hold.
const source = readFileSync(BUNDLE, 'latin1');
const script = new Script(
  `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
  { filename: BUNDLE, ...(cachedData === undefined ? {} : { cachedData }) },
);
if (script.cachedDataRejected === true)
  report('the cache was made by another version or with other flags');
if (outputFile !== undefined) {
  process.once('exit', () => {
    writeFileSync(outputFile, script.createCachedData());
  });
}
const run = script.runInThisContext() as ModuleFunction;
run(exports, require, module, BUNDLE, __dirname);

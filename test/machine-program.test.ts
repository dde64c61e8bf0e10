/** Starts the machines' bundled program with its code cache, with a truncated one and without one. */
import assert from 'node:assert/strict';
import { execFile, spawnSync } from 'node:child_process';
import { closeSync, cpSync, mkdtempSync, openSync, rmSync, truncateSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { promisify } from 'node:util';

const execute = promisify(execFile);
/** The flag of the deploy file; a code cache is valid only for the flags that it was made with. */
const FLAGS = ['--max-old-space-size=120'];
const CODE_CACHE_UNUSED = '"event":110';
const BUILD_TIMEOUT_MS = 120_000;

/** Returns the output of a start that fails at once, since its settings file does not exist. */
async function start(directory: string, flags: readonly string[]): Promise<string> {
  const launcher = join(directory, 'sillshore-sidecar.cjs');
  const args = [...flags, launcher, 'sidecar', '--settings', 'absent.json'];
  const failed = await execute(process.execPath, args).catch((error: unknown) => error);
  const { stdout, stderr } = failed as { readonly stdout: string; readonly stderr: string };
  return stdout + stderr;
}

/** The same with a standard output that refuses lines; returns the standard error. */
function startWithFullDisk(directory: string): string {
  const launcher = join(directory, 'sillshore-sidecar.cjs');
  const args = [...FLAGS, launcher, 'sidecar', '--settings', 'absent.json'];
  const full = openSync('/dev/full', 'w');
  try {
    return spawnSync(process.execPath, args, { stdio: ['ignore', full, 'pipe'] }).stderr.toString();
  } finally {
    closeSync(full);
  }
}

test('the program starts from its code cache, and also without a usable one', async () => {
  await execute(process.execPath, ['scripts/bundle-sidecar.mjs'], { timeout: BUILD_TIMEOUT_MS });
  const directory = mkdtempSync(join(tmpdir(), 'sillshore-program-'));
  try {
    cpSync('target', directory, { recursive: true });
    const withCache = await start(directory, FLAGS);
    assert.match(withCache, /cannot read absent.json/);
    assert.ok(!withCache.includes(CODE_CACHE_UNUSED), withCache);
    const cache = join(directory, 'sillshore-sidecar.bundle.cjs.cache');
    for (const damage of [
      () => {
        truncateSync(cache, 1_000);
      },
      () => {
        rmSync(cache);
      },
    ]) {
      damage();
      const without = await start(directory, FLAGS);
      assert.match(without, /cannot read absent.json/);
      assert.ok(without.includes(CODE_CACHE_UNUSED), without);
      assert.match(startWithFullDisk(directory), /cannot read absent.json/);
    }
  } finally {
    rmSync(directory, { recursive: true, force: true });
  }
});

/**
 * Builds the program of the machines: a bundle, its code cache and the launcher that loads both,
 * target/sillshore-sidecar.cjs.
 */
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { build } from 'esbuild';
import { BUNDLE_OPTIONS, SCRIPT_OPTIONS } from './bundle-options.mjs';

const LAUNCHER = 'target/sillshore-sidecar.cjs';
const BUNDLE = 'target/sillshore-sidecar.bundle.cjs';
const REHEARSAL = 'target/rehearsal.mjs';

/** Reads the flags of the deploy file; a code cache is valid only for the flags that it was made with. */
function readFlags() {
  const [, command] = /^run = "node (.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'));
  return command.split(' ').filter((word) => /^--(?!settings)/.test(word));
}

await build({ ...SCRIPT_OPTIONS, entryPoints: ['src/cli/sidecar-main.ts'], outfile: BUNDLE });
await build({ ...SCRIPT_OPTIONS, entryPoints: ['src/cli/launch-sidecar.ts'], outfile: LAUNCHER });
await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ['platform/stand-ins/rehearsal.ts'],
  outfile: REHEARSAL,
});
execFileSync(process.execPath, [REHEARSAL, LAUNCHER, `${BUNDLE}.cache`, ...readFlags()], {
  stdio: 'inherit',
});

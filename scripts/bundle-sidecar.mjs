/** Bundles the machines' program into one file, target/sillshore-sidecar.mjs. */
import { build } from 'esbuild';
import { BUNDLE_OPTIONS } from './bundle-options.mjs';

await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ['src/cli/sidecar-main.ts'],
  outfile: 'target/sillshore-sidecar.mjs',
});

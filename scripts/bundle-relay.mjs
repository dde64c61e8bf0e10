/** Bundles the bare relay (test/bare-relay.ts), a baseline for processor time, into target/. */
import { build } from 'esbuild';
import { BUNDLE_OPTIONS } from './bundle-options.mjs';

await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ['test/bare-relay.ts'],
  outfile: 'target/bare-relay.mjs',
});

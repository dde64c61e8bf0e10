/** Bundles the machines' program into one file, target/sillshore-sidecar.mjs, so that it starts quickly. */
import { build } from 'esbuild';

// Libraries in CommonJS form ask for `require`.
const REQUIRE =
  "import { createRequire } from 'node:module';\nconst require = createRequire(import.meta.url);";

await build({
  entryPoints: ['src/cli/sidecar-main.ts'],
  outfile: 'target/sillshore-sidecar.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: REQUIRE },
  define: { 'process.env.NODE_ENV': '"production"' },
  legalComments: 'none',
  logLevel: 'warning',
});

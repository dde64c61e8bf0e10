/** How programs of the machines are bundled: one file that starts quickly. */

// Libraries in CommonJS form ask for `require`.
const REQUIRE =
  "import { createRequire } from 'node:module';\nconst require = createRequire(import.meta.url);";

export const BUNDLE_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: REQUIRE },
  define: { 'process.env.NODE_ENV': '"production"' },
  legalComments: 'none',
  logLevel: 'warning',
};

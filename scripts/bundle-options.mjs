/**
 * Options for bundling the programs of the machines into one file that loads quickly, since its
 * load time is part of every start and restart of a machine.
 */

// Libraries in CommonJS form call `require`.
const REQUIRE =
  "import { createRequire } from 'node:module';\nconst require = createRequire(import.meta.url);";

/**
 * Built-in modules that libraries load at their start and that the machines' programs hardly use:
 * prom-client's push gateway loads https, its cluster registry loads cluster, pino's transports load
 * worker_threads. All of them took 20 of the 66 ms for built-in modules in the profile of one start.
 */
const DEFERRED_BUILT_INS =
  /^(node:)?(assert|child_process|cluster|crypto|dgram|dns|https|perf_hooks|readline|tls|v8|worker_threads|zlib)$/;

/** Parts of prom-client that load built-in modules at once and that no program here uses. */
const UNUSED_PARTS = /prom-client\/lib\/(cluster|defaultMetrics|pushgateway)\.js$/;

/** Loads a built-in module when one of its members is first used. */
function createDeferredModule(name) {
  const members = JSON.stringify(Object.keys(process.getBuiltinModule(name)));
  return `
    let loaded;
    const load = () => (loaded ??= process.getBuiltinModule('node:${name}'));
    for (const member of ${members}) {
      Object.defineProperty(module.exports, member, { enumerable: true, get: () => load()[member] });
    }`;
}

const leanLibraries = {
  name: 'lean-libraries',
  setup(build) {
    build.onResolve({ filter: DEFERRED_BUILT_INS }, ({ path }) => ({
      path: path.replace('node:', ''),
      namespace: 'deferred',
    }));
    build.onLoad({ filter: /.*/, namespace: 'deferred' }, ({ path }) => ({
      contents: createDeferredModule(path),
      loader: 'js',
    }));
    build.onLoad({ filter: UNUSED_PARTS }, () => ({
      contents: 'module.exports = undefined;',
      loader: 'js',
    }));
  },
};

const SHARED_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  define: { 'process.env.NODE_ENV': '"production"' },
  legalComments: 'none',
  logLevel: 'warning',
};

/** For programs as ES modules. */
export const BUNDLE_OPTIONS = { ...SHARED_OPTIONS, format: 'esm', banner: { js: REQUIRE } };

/** For programs as CommonJS scripts, for which a code cache can be created. */
export const SCRIPT_OPTIONS = { ...SHARED_OPTIONS, format: 'cjs', plugins: [leanLibraries] };

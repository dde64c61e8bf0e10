import js from '@eslint/js';
import tseslint from 'typescript-eslint';

/** Rings that decision logic must not reach into; see docs/ARCHITECTURE.md. */
const outerRings = [
  'kernel',
  'config',
  'peer',
  'etcd',
  'admin',
  'cli',
  'entry',
  'target',
  'emulator',
  'stand-ins',
  'membership',
  'claims',
  'trials',
  'node',
  'observability',
  'gen',
  'sidecar',
  'logs',
  'store',
];

/** Words of the machines' platform; only platform/ may know them. */
const platformWords =
  '/x-attempt-id|x-deadline-ms|x-expected-instance|x-caller-service|x-not-executed|x-server-stamp|x-instance-|v1.(instances|kv-|readiness)|kv-(key|range|watch|txn|lease|keep)|privateKey/i';

const testFiles = ['src/**/*.test.ts'];

const usePort = {
  regex: '/\\.\\./platform/(?!stand-ins/)|^\\.\\./\\.\\./platform/(?!stand-ins/)',
  message: 'Use the port.',
};
const noTestSupport = {
  regex: '^(\\.\\./)+test/',
  message: 'What only tests use is not part of the product.',
};

export default tseslint.config(
  { ignores: ['dist', 'out', 'target', 'src/gen', 'node_modules'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  {
    languageOptions: {
      globals: { process: 'readonly', console: 'readonly', setTimeout: 'readonly' },
    },
    rules: {
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-empty-function': 'off',
      '@typescript-eslint/no-extraneous-class': 'off',
      '@typescript-eslint/unified-signatures': 'off',
      eqeqeq: 'error',
    },
  },
  {
    // Decision logic is pure: no I/O, no clock, no unseeded random numbers, no outer ring.
    files: ['src/core/**/*.ts'],
    ignores: ['src/core/**/*.test.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            { group: ['node:*'], message: 'Decision logic does no I/O.' },
            ...outerRings.map((ring) => ({
              group: [`**/${ring}/**`],
              message: 'Decision logic imports nothing from the outer rings.',
            })),
          ],
        },
      ],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'process', 'performance'],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'Take `now` as an argument.' },
        { object: 'Math', property: 'random', message: 'Take a seeded generator.' },
      ],
    },
  },
  {
    // The product knows nothing of the machines' platform but its port.
    files: ['src/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        ...['Literal[value=', 'TemplateElement[value.raw='].map((selector) => ({
          selector: `${selector}${platformWords}]`,
          message: 'Words of the platform stand in platform/ alone.',
        })),
        {
          selector: `Identifier[name=${platformWords}]`,
          message: 'Words of the platform stand in platform/ alone.',
        },
      ],
    },
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['src/core/**', 'src/cli/sidecar-command.ts', ...testFiles],
    rules: { 'no-restricted-imports': ['error', { patterns: [usePort, noTestSupport] }] },
  },
  {
    files: testFiles,
    ignores: ['src/core/**'],
    rules: { 'no-restricted-imports': ['error', { patterns: [usePort] }] },
  },
  {
    // The adapter translates; it takes types and value constructors, and no logic.
    files: ['platform/**/*.ts'],
    ignores: ['platform/**/*.test.ts', 'platform/stand-ins/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              regex:
                '/src/(?!store/metadata-store|sidecar/platform-adapter|sidecar/rules/routing-rules|core/(failure|result-code|duration|host-and-port))',
              message: 'The adapter translates and decides nothing.',
            },
          ],
        },
      ],
    },
  },
);

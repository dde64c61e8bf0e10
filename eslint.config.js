import js from '@eslint/js';
import tseslint from 'typescript-eslint';

/** Rings that decision logic must not reach into; see docs/ARCHITECTURE.md. */
const outerRings = [
  'kernel',
  'config',
  'peer',
  'platform',
  'admin',
  'cli',
  'entry',
  'target',
  'emulator',
  'stand-ins',
  'membership',
  'claims',
  'testing',
  'hollow',
  'node',
  'observability',
  'gen',
];

export default tseslint.config(
  { ignores: ['dist', 'out', 'src/gen', 'node_modules'] },
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
);

/** Keeps the platform's names out of src/, and the product's logic out of the platform's adapter. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { platformAdapter } from '../platform/adapter.js';

/** Calls and members of the platform's interface that must not occur in src/. */
const PLATFORM_WORDS = ['/v1/instances', '/v1/kv-', 'privateKey', 'callCount', 'coldRemaining'];

/** Modules that the adapter may import: ports, and constructors of values. */
const ALLOWED_IMPORTS = [
  'src/store/metadata-store.js',
  'src/sidecar/platform-adapter.js',
  'src/sidecar/rules/routing-rules.js',
  'src/core/failure.js',
  'src/core/result-code.js',
  'src/core/duration.js',
  'src/core/host-and-port.js',
];

function listSources(directory: string): readonly string[] {
  return readdirSync(directory, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
    .map((entry) => join(entry.parentPath, entry.name));
}

test('no source file of the product contains a word of the platform', () => {
  const { fields, readinessPath, rulesKey } = platformAdapter;
  const words = [...PLATFORM_WORDS, ...Object.values(fields), readinessPath, rulesKey];
  const found = listSources('src').flatMap((file) => {
    const text = readFileSync(file, 'utf8').toLowerCase();
    return words.filter((word) => text.includes(word.toLowerCase())).map((word) => [file, word]);
  });
  assert.deepEqual(found, []);
});

test('the adapter imports only ports and constructors of values', () => {
  const sources = listSources('platform').filter((file) => !file.endsWith('.test.ts'));
  const imported = sources.flatMap((file) =>
    [...readFileSync(file, 'utf8').matchAll(/from '\.\.\/(src\/[^']+)'/g)].map(
      (match) => match[1]!,
    ),
  );
  assert.ok(imported.length > 0);
  assert.deepEqual(
    imported.filter((path) => !ALLOWED_IMPORTS.includes(path)),
    [],
  );
});

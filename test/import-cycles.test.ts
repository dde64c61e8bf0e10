/** Rejects import cycles, type imports included, so that modules can be read one after another. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';
import { test } from 'node:test';
import ts from 'typescript';

const ROOTS = ['src', 'platform', 'test'];

type ImportGraph = ReadonlyMap<string, readonly string[]>;

function listModules(): readonly string[] {
  return ROOTS.flatMap((root) =>
    readdirSync(root, { withFileTypes: true, recursive: true })
      .filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
      .map((entry) => join(entry.parentPath, entry.name)),
  );
}

function importsOf(module: string): readonly string[] {
  const { importedFiles } = ts.preProcessFile(readFileSync(module, 'utf8'));
  return importedFiles
    .filter(({ fileName }) => fileName.startsWith('.'))
    .map(({ fileName }) => normalize(join(dirname(module), fileName.replace(/\.js$/, '.ts'))));
}

/** Returns the first cycle that a depth-first search finds, as a path whose first and last module are equal. */
function findCycle(graph: ImportGraph): readonly string[] | undefined {
  const finished = new Set<string>();
  const path: string[] = [];
  const visit = (module: string): readonly string[] | undefined => {
    const start = path.indexOf(module);
    if (start >= 0) return [...path.slice(start), module];
    if (finished.has(module)) return undefined;
    path.push(module);
    for (const imported of graph.get(module) ?? []) {
      const cycle = visit(imported);
      if (cycle !== undefined) return cycle;
    }
    path.pop();
    finished.add(module);
    return undefined;
  };
  for (const module of graph.keys()) {
    const cycle = visit(module);
    if (cycle !== undefined) return cycle;
  }
  return undefined;
}

test('the search finds a cycle', () => {
  const graph = new Map([
    ['a', ['b']],
    ['b', ['c', 'd']],
    ['c', []],
    ['d', ['b']],
  ]);
  assert.deepEqual(findCycle(graph), ['b', 'd', 'b']);
});

test('no module is part of an import cycle', () => {
  const modules = listModules();
  assert.ok(modules.length > 100);
  const graph = new Map(modules.map((module) => [module, importsOf(module)]));
  assert.equal(findCycle(graph), undefined);
});

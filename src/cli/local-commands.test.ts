import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { stringify } from 'yaml';
import { createRulesDocument, createTestSettings } from '../../test/support/test-admin.js';
import { ResultCode, RESULT_CODES } from '../core/result-code.js';
import { createFailure } from '../core/failure.js';
import { readVersion } from '../node/version.js';
import { runCaptured } from '../../test/support/command-line.js';
import { ExitCode, exitCodeOf } from './exit-code.js';
import { registeredCommands } from './registered-commands.js';
import { loadSettings } from './settings-source.js';
import { formatTable } from './table.js';

let directory: string;
before(() => {
  directory = mkdtempSync(join(tmpdir(), 'sillshore-'));
  writeFile('rules.yaml', createRulesDocument());
  writeFile('node.yaml', stringify(createTestSettings()));
  writeFile('broken.yaml', 'a: [');
  writeFile('list.yaml', '- 1');
  writeFile('unknown.yaml', stringify({ ...createTestSettings(), colour: 'red', node: 5 }));
});
after(() => {
  rmSync(directory, { recursive: true });
});

function writeFile(name: string, text: string): void {
  writeFileSync(join(directory, name), text);
}

const inDirectory = (name: string): string => join(directory, name);

interface Check {
  readonly name: string;
  readonly argv: readonly string[];
  readonly exitCode: ExitCode;
  readonly output: RegExp;
}

const CHECKS: readonly Check[] = [
  { name: 'rules', argv: ['rules.yaml'], exitCode: ExitCode.Ok, output: /^valid: / },
  {
    name: 'settings',
    argv: ['--settings', 'node.yaml'],
    exitCode: ExitCode.Ok,
    output: /^valid: /,
  },
  {
    name: 'rules as settings',
    argv: ['--settings', 'rules.yaml'],
    exitCode: ExitCode.InvalidInput,
    output: /^error 4004: /,
  },
  {
    name: 'settings as rules',
    argv: ['node.yaml'],
    exitCode: ExitCode.InvalidInput,
    output: /^error 4001: /,
  },
  {
    name: 'no YAML',
    argv: ['broken.yaml'],
    exitCode: ExitCode.InvalidInput,
    output: /^error 4001: .*not valid YAML/,
  },
  {
    name: 'settings that are a list',
    argv: ['--settings', 'list.yaml'],
    exitCode: ExitCode.InvalidInput,
    output: /^error 4004: /,
  },
  {
    name: 'every error at once',
    argv: ['--settings', 'unknown.yaml'],
    exitCode: ExitCode.InvalidInput,
    output: /\n {2}node: .*\n {2}\(document\): Unrecognized key: "colour"/,
  },
  {
    name: 'missing file',
    argv: ['missing.yaml'],
    exitCode: ExitCode.InvalidInput,
    output: /ENOENT/,
  },
];
for (const { name, argv, exitCode, output } of CHECKS) {
  test(`config check: ${name}`, async () => {
    const files = argv.map((argument) =>
      argument.startsWith('--') ? argument : inDirectory(argument),
    );
    const outcome = await runCaptured(['config', 'check', ...files]);
    assert.equal(outcome.exitCode, exitCode, outcome.stderr);
    assert.match(outcome.stdout + outcome.stderr, output);
  });
}

test('config check --json prints the result', async () => {
  const valid = await runCaptured(['config', 'check', inDirectory('rules.yaml'), '--json']);
  assert.deepEqual(JSON.parse(valid.stdout), { valid: true, tenant: 'roteiro-vivo', services: 1 });
  const invalid = await runCaptured(['config', 'check', inDirectory('broken.yaml'), '--json']);
  const printed = JSON.parse(invalid.stdout) as Record<string, unknown>;
  assert.deepEqual([printed['valid'], printed['code']], [false, ResultCode.RulesInvalid]);
});

test('flags override the settings file, member by member', async () => {
  const settings = await loadSettings(inDirectory('node.yaml'), [
    { path: ['node', 'zone'], value: 'zone-c' },
    { path: ['node', 'id'], value: undefined },
    { path: ['listen', 'entry'], value: '127.0.0.1:8080' },
    { path: ['stopTimeoutMs'], value: 5 },
  ]);
  const expected = createTestSettings();
  assert.deepEqual(
    settings.unwrapOrElse((failure) => assert.fail(failure.detail)),
    {
      ...expected,
      node: { ...expected.node, zone: 'zone-c' },
      listen: { ...expected.listen, entry: '127.0.0.1:8080' },
      stopTimeoutMs: 5,
    },
  );
});

const BAD_NODES: readonly (readonly [string, readonly string[], RegExp])[] = [
  ['nothing given', [], /node: .*\n {2}listen: /],
  ['wrong zone', ['--zone', 'Zone C'], /node\.zone: lower-case/],
  ['wrong address', ['--entry', 'localhost'], /listen\.entry: an IP address and port/],
  ['wrong number', ['--stop-timeout-ms', 'soon'], /stopTimeoutMs: /],
  ['wrong level', ['--log-level', 'loud'], /log\.level: /],
];
for (const [name, argv, message] of BAD_NODES) {
  test(`node rejects settings: ${name}`, async () => {
    const outcome = await runCaptured(['node', ...argv]);
    assert.equal(outcome.exitCode, ExitCode.InvalidInput);
    assert.match(outcome.stderr, message);
  });
}

const SECRETS: readonly (readonly [string, RegExp])[] = [
  ['SILLSHORE_SHARED_KEY', /peers\.sharedKey/],
  ['SILLSHORE_PREVIOUS_SHARED_KEY', /peers\.previousSharedKeys\.0/],
  ['SILLSHORE_TOKEN', /admin\.token/],
  ['SILLSHORE_ADMIN_TLS_CERTIFICATE', /admin\.tls/],
  ['SILLSHORE_ADMIN_TLS_KEY', /admin\.tls/],
  ['SILLSHORE_PEER_TLS_CERTIFICATE', /peers\.tls/],
  ['SILLSHORE_PEER_TLS_KEY', /peers\.tls/],
  ['SILLSHORE_PEER_TLS_CA', /peers\.tls/],
];
for (const [variable, path] of SECRETS) {
  test(`node reads ${variable} into its settings`, async () => {
    const argv = ['node', '--settings', inDirectory('node.yaml')];
    const outcome = await runCaptured(argv, { [variable]: 'x' });
    assert.equal(outcome.exitCode, ExitCode.InvalidInput);
    assert.match(outcome.stderr, path);
  });
}

const WRONG_USAGE: readonly (readonly string[])[] = [
  ['nonsense'],
  ['config'],
  ['status', '--nonsense'],
  ['config', 'check'],
  ['config', 'check', 'a', 'b'],
  ['drain', 'target'],
];
for (const argv of WRONG_USAGE) {
  test(`wrong usage ends with exit code 2: ${argv.join(' ')}`, async () => {
    const outcome = await runCaptured(argv);
    assert.equal(outcome.exitCode, ExitCode.InvalidInput);
    assert.notEqual(outcome.stderr, '');
  });
}

test('version prints the version of the package', async () => {
  assert.equal((await runCaptured(['version'])).stdout, `${readVersion()}\n`);
  const json = await runCaptured(['version', '--json']);
  assert.deepEqual(JSON.parse(json.stdout), { version: readVersion(), node: process.version });
});

test('every command has a description and an example, and its help ends with 0', async () => {
  for (const command of registeredCommands) {
    const { usage, paths } = command as unknown as {
      usage?: { description?: string; examples?: unknown[] };
      paths: readonly string[][];
    };
    const [path = []] = paths;
    if (path[0] === '-h') continue;
    assert.ok(usage?.description, `${path.join(' ')} has no description`);
    assert.ok((usage.examples ?? []).length > 0, `${path.join(' ')} has no example`);
    const help = await runCaptured([...path, '--help']);
    assert.equal(help.exitCode, ExitCode.Ok);
    assert.match(help.stdout, /Examples/);
  }
});

test('docs/CLI.md lists every command and every exit code', () => {
  const page = readFileSync('docs/CLI.md', 'utf8');
  for (const command of registeredCommands) {
    const [path = []] = (command as unknown as { paths: readonly string[][] }).paths;
    if (path[0] !== '-h') assert.ok(page.includes(`sillshore ${path.join(' ')}`), path.join(' '));
  }
  for (const [name, code] of Object.entries(ExitCode)) {
    if (typeof code === 'number')
      assert.match(page, new RegExp(`^\\| ${code} \\| ${name} \\|`, 'm'));
  }
});

test('every failure has an exit code other than 0', () => {
  for (const code of RESULT_CODES.keys()) {
    assert.notEqual(exitCodeOf(createFailure(code, '')), ExitCode.Ok);
  }
});

test('a table pads its columns and right-aligns numbers', () => {
  const table = formatTable(
    ['NAME', 'N'],
    [
      ['a', 1],
      ['long-name', 20],
    ],
  );
  assert.equal(table, 'NAME        N\na           1\nlong-name  20');
});

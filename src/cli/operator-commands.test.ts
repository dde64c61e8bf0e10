import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, before, beforeEach, test } from 'node:test';
import {
  createMember,
  createRulesDocument,
  startTestAdmin,
  TEST_TOKEN,
  type TestAdmin,
} from '../../test/support/test-admin.js';
import { createFailure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import { runCaptured, type CommandOutcome } from '../../test/support/command-line.js';
import { ExitCode } from './exit-code.js';

let admin: TestAdmin;
let directory: string;
let rules: string;
before(() => {
  directory = mkdtempSync(join(tmpdir(), 'sillshore-'));
  rules = join(directory, 'rules.yaml');
  writeFileSync(rules, createRulesDocument());
  writeFileSync(join(directory, 'invalid.yaml'), 'tenant: roteiro-vivo\nservices: []\n');
});
after(() => {
  rmSync(directory, { recursive: true });
});
beforeEach(async () => {
  admin = await startTestAdmin();
});
afterEach(() => admin.server.stop());

/** Runs an operator's command against the test server. */
function operate(...argv: string[]): Promise<CommandOutcome> {
  return runCaptured(argv, {
    SILLSHORE_ADMIN: admin.url,
    SILLSHORE_TOKEN: TEST_TOKEN,
    USER: 'ana',
  });
}

const TENANT = ['--tenant', 'roteiro-vivo'];
const revision = {
  tenant: 'roteiro-vivo',
  revision: '1',
  version: '1',
  operationId: 'op-1',
  author: 'ana',
  acceptedAtMs: '0',
};

function apply(...argv: string[]): Promise<CommandOutcome> {
  return operate('config', 'apply', rules, ...argv);
}

test('apply accepts the file and prints its revision', async () => {
  const outcome = await apply('--expect', '0');
  assert.deepEqual(outcome, {
    exitCode: ExitCode.Ok,
    stdout: 'accepted: tenant roteiro-vivo revision 1\n',
    stderr: '',
  });
  assert.equal(admin.repository.revisions[0]?.author, 'ana');
});

test('apply on an outdated revision is a conflict and names the current one', async () => {
  await apply('--expect', '0');
  const outcome = await apply('--expect', '0');
  assert.equal(outcome.exitCode, ExitCode.Conflict);
  assert.match(outcome.stderr, /error 4002: .*\n {2}current revision: 1\n/);
});

test('apply --json prints the revision', async () => {
  const outcome = await apply('--expect', '0', '--operation', 'op-1', '--json');
  assert.deepEqual(JSON.parse(outcome.stdout), revision);
});

test('apply retries after a lost response, under the same operation id', async () => {
  const failure = createFailure(ResultCode.WriteOutcomeUnknown, 'lost', { retryAfterMs: 1 });
  admin.repository.failures.push({ failure, applied: true }, { failure, applied: false });
  const outcome = await apply('--expect', '0');
  assert.equal(outcome.exitCode, ExitCode.Ok, outcome.stderr);
  assert.equal(admin.repository.applies, 3);
  assert.equal(admin.repository.revisions.length, 1);
});

test('apply gives up when the outcome stays unknown and prints how to repeat the change', async () => {
  const failure = createFailure(ResultCode.WriteOutcomeUnknown, 'lost', { retryAfterMs: 1 });
  for (let call = 0; call < 4; call += 1)
    admin.repository.failures.push({ failure, applied: false });
  const outcome = await apply('--expect', '0', '--operation', 'op-7');
  assert.equal(outcome.exitCode, ExitCode.OperationFailed);
  assert.match(outcome.stderr, /repeat with --operation op-7/);
  assert.equal(admin.repository.applies, 4);
});

test('apply does not retry a change that was rejected', async () => {
  const failure = createFailure(ResultCode.PlatformUnavailable, 'down', { retryAfterMs: 700 });
  admin.repository.failures.push({ failure, applied: false });
  const outcome = await apply('--expect', '0');
  assert.equal(outcome.exitCode, ExitCode.Unavailable);
  assert.match(outcome.stderr, /error 4003: .*\n {2}try again after 700 ms/);
  assert.equal(admin.repository.applies, 1);
});

test('apply --wait-ms reports the zones, and fails when one lacks the revision', async () => {
  const everywhere = await apply('--expect', '0', '--wait-ms', '5000');
  assert.equal(everywhere.exitCode, ExitCode.Ok);
  assert.match(
    everywhere.stdout,
    /ZONE +NODES +IN FORCE +LOWEST VERSION\nzone-a +1 +1 +1\nzone-b +1 +1 +1\n/,
  );
  admin.membership.others = [createMember('b1', 'zone-b', { configVersion: 1 })];
  const behind = await apply('--expect', '1', '--wait-ms', '0', '--json');
  assert.equal(behind.exitCode, ExitCode.Unavailable);
  const zones = [
    { zone: 'zone-a', nodes: 1, nodesInForce: 1 },
    { zone: 'zone-b', nodes: 1, nodesInForce: 0 },
  ];
  const printed = JSON.parse(behind.stdout) as Record<string, unknown>;
  assert.deepEqual([printed['everywhere'], printed['zones']], [false, zones]);
});

test('apply --check validates at the node and changes nothing', async () => {
  const outcome = await apply('--check');
  assert.equal(outcome.stdout, 'valid: 1 services, 2 targets, 1 kinds\n');
  assert.equal(admin.repository.revisions.length, 0);
});

test('apply accepts the rules that get prints', async () => {
  await apply('--expect', '0');
  const outcome = await operate('config', 'get', ...TENANT);
  assert.equal(outcome.exitCode, ExitCode.Ok);
  const copy = join(directory, 'copy.yaml');
  writeFileSync(copy, outcome.stdout);
  const again = await operate('config', 'apply', copy, '--expect', '1');
  assert.equal(again.exitCode, ExitCode.Ok, again.stderr);
});

test('history prints a table, or JSON', async () => {
  await apply('--expect', '0', '--operation', 'op-1');
  const table = await operate('config', 'history', ...TENANT);
  assert.match(
    table.stdout,
    /^REVISION +VERSION +ACCEPTED +AUTHOR +OPERATION\n +1 +1 +1970-01-01T00:00:00.000Z +ana +op-1\n$/,
  );
  const json = await operate('config', 'history', ...TENANT, '--json');
  assert.deepEqual(JSON.parse(json.stdout), { revisions: [revision] });
});

test('in-force prints zones, or JSON with zones and nodes', async () => {
  await apply('--expect', '0');
  const table = await operate('config', 'in-force', ...TENANT);
  assert.match(table.stdout, /^roteiro-vivo revision 1 version 1 by ana .*\nZONE/);
  const json = await operate('config', 'in-force', ...TENANT, '--json');
  const printed = JSON.parse(json.stdout) as { nodes: unknown[] };
  assert.deepEqual(printed.nodes[1], { node: 'b1', zone: 'zone-b', version: '1', inForce: true });
});

test('watch prints one line a revision and ends after --count', async () => {
  await apply('--expect', '0', '--operation', 'op-1');
  const text = await operate('config', 'watch', '--count', '1');
  assert.equal(text.stdout, 'roteiro-vivo revision 1 version 1 by ana (op-1)\n');
  const json = await operate('config', 'watch', ...TENANT, '--count', '1', '--json');
  assert.deepEqual(JSON.parse(json.stdout), revision);
});

test('status prints tables, or JSON', async () => {
  await apply('--expect', '0');
  admin.metrics.limit.labels({ target: 'guide-1' }).set(11.52);
  const table = await operate('status');
  assert.match(table.stdout, /^NODE +ZONE +STATE.*\na1 +zone-a +ready/);
  assert.match(table.stdout, /\nb1 +zone-b +alive/);
  assert.match(table.stdout, /\nguide-1 +a1 +guide +zone-a +serving +11.5 +0 +0\n$/);
  const json = await operate('status', '--json');
  const printed = JSON.parse(json.stdout) as { node: Record<string, unknown>; targets: unknown[] };
  assert.equal(printed.node['id'], 'a1');
  assert.equal(printed.targets.length, 2);
});

test('status --all queries the other members and names those that do not respond', async () => {
  const other = await startTestAdmin();
  const adminAddress = `127.0.0.1:${other.port}`;
  admin.membership.others = [
    createMember('b1', 'zone-b', { adminAddress }),
    createMember('c1', 'zone-c', { adminAddress: '127.0.0.1:1' }),
  ];
  const outcome = await operate('status', '--all', '--json');
  await other.server.stop();
  const { nodes } = JSON.parse(outcome.stdout) as { nodes: unknown[] };
  assert.equal(nodes.length, 2);
  assert.match(outcome.stderr, /^c1: .*ECONNREFUSED/);
});

test('drain reaches the targets of the node and its kernel', async () => {
  await apply('--expect', '0');
  assert.equal((await operate('drain', 'target', 'guide-1')).exitCode, ExitCode.Ok);
  assert.equal((await operate('drain', 'target', 'guide-1', '--resume')).exitCode, ExitCode.Ok);
  assert.deepEqual(admin.drained, ['guide-1 true', 'guide-1 false']);
  const node = await operate('drain', 'node');
  assert.equal(node.stdout, 'planned stop of node a1 has begun\n');
  assert.equal(admin.stops.count, 1);
});

interface Failing {
  readonly name: string;
  readonly argv: readonly string[];
  readonly exitCode: ExitCode;
  readonly message: RegExp;
}

const FAILING: readonly Failing[] = [
  {
    name: 'wrong token',
    argv: ['status', '--token', 'wrong-token'],
    exitCode: ExitCode.OperationFailed,
    message: /^error 5006: /,
  },
  {
    name: 'connection refused',
    argv: ['status', '--admin', '127.0.0.1:1'],
    exitCode: ExitCode.Unavailable,
    message: /^error 5008: .*ECONNREFUSED/,
  },
  {
    name: 'invalid address',
    argv: ['status', '--admin', 'nonsense'],
    exitCode: ExitCode.InvalidInput,
    message: /expected an address and port/,
  },
  {
    name: 'invalid time limit',
    argv: ['status', '--timeout-ms', '0'],
    exitCode: ExitCode.InvalidInput,
    message: /--timeout-ms/,
  },
  {
    name: 'unknown tenant',
    argv: ['config', 'get', '--tenant', 'nobody'],
    exitCode: ExitCode.OperationFailed,
    message: /^error 4005: /,
  },
  {
    name: 'invalid tenant name',
    argv: ['config', 'get', '--tenant', 'No Body'],
    exitCode: ExitCode.InvalidInput,
    message: /^error 4010: /,
  },
  {
    name: 'missing tenant',
    argv: ['config', 'get'],
    exitCode: ExitCode.InvalidInput,
    message: /--tenant/,
  },
  {
    name: 'invalid revision',
    argv: ['config', 'get', ...TENANT, '--revision', '1.5'],
    exitCode: ExitCode.InvalidInput,
    message: /--revision/,
  },
  {
    name: 'history too long',
    argv: ['config', 'history', ...TENANT, '--limit', '101'],
    exitCode: ExitCode.InvalidInput,
    message: /^error 4010: /,
  },
  {
    name: 'apply without --expect',
    argv: ['config', 'apply', 'RULES'],
    exitCode: ExitCode.InvalidInput,
    message: /--expect is needed/,
  },
  {
    name: 'apply of a missing file',
    argv: ['config', 'apply', 'missing.yaml', '--expect', '0'],
    exitCode: ExitCode.InvalidInput,
    message: /^error 4001: .*ENOENT/,
  },
  {
    name: 'apply of invalid rules',
    argv: ['config', 'apply', 'INVALID', '--expect', '0'],
    exitCode: ExitCode.InvalidInput,
    message: /^error 4001: .*\n {2}apiVersion: .*\n {2}services: /,
  },
  {
    name: "apply of another tenant's rules",
    argv: ['config', 'apply', 'RULES', '--expect', '0', '--tenant', 'fjordbygg'],
    exitCode: ExitCode.OperationFailed,
    message: /^error 4008: /,
  },
  {
    name: 'drain of an unknown target',
    argv: ['drain', 'target', 'guide-9'],
    exitCode: ExitCode.InvalidInput,
    message: /^error 4010: /,
  },
  {
    name: 'drain of an unknown node',
    argv: ['drain', 'node', 'z9'],
    exitCode: ExitCode.Unavailable,
    message: /^error 5008: /,
  },
];
for (const { name, argv, exitCode, message } of FAILING) {
  test(`exit code ${exitCode}: ${name}`, async () => {
    const files: Record<string, string> = {
      RULES: rules,
      INVALID: join(directory, 'invalid.yaml'),
    };
    const outcome = await operate(...argv.map((argument) => files[argument] ?? argument));
    assert.equal(outcome.exitCode, exitCode, outcome.stderr);
    assert.match(outcome.stderr, message);
    assert.equal(outcome.stdout, '');
  });
}

test('without address or token the command says what is missing', async () => {
  const outcome = await runCaptured(['status'], { SILLSHORE_TOKEN: TEST_TOKEN });
  assert.equal(outcome.exitCode, ExitCode.InvalidInput);
  assert.match(outcome.stderr, /--admin or SILLSHORE_ADMIN is needed/);
});

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { createFailure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import { AdminService } from '../gen/sillshore/admin/v1/admin_pb.js';
import {
  createMember,
  createRulesDocument,
  startTestAdmin,
  TEST_TOKEN,
  type TestAdmin,
} from '../../test/support/test-admin.js';
import { toFailure } from './connect-error.js';

let admin: TestAdmin;
before(async () => {
  admin = await startTestAdmin();
  admin.metrics.limit.labels({ target: 'guide-1' }).set(11.5);
  admin.metrics.inFlight.labels({ target: 'guide-1' }).set(3);
  admin.metrics.queued.labels({ target: 'guide-1' }).set(2);
  // Stale value from when a1 also fronted guide-2.
  admin.metrics.limit.labels({ target: 'guide-2' }).set(12);
});
after(() => admin.server.stop());

interface Reply {
  readonly status: number;
  readonly code: string | null;
  readonly body: Record<string, unknown>;
}

/** Calls a method as `curl -d JSON` does. */
async function call(method: string, request: unknown): Promise<Reply> {
  const answer = await fetch(`${admin.url}/${AdminService.typeName}/${method}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${TEST_TOKEN}`, 'content-type': 'application/json' },
    body: JSON.stringify(request),
  });
  const body = (await answer.json()) as Record<string, unknown>;
  return { status: answer.status, code: answer.headers.get('sillshore-result'), body };
}

const tenant = 'roteiro-vivo';
const document = createRulesDocument();
const change = { tenant, document, operationId: 'op-1', author: 'ana' };
const revision = { tenant, revision: '1', version: '1', operationId: 'op-1', author: 'ana' };

interface Case {
  readonly name: string;
  readonly method: string;
  readonly request: unknown;
  readonly status?: number;
  readonly code?: ResultCode;
  readonly body?: Record<string, unknown>;
}

const refuse = (
  name: string,
  method: string,
  request: unknown,
  status: number,
  code: ResultCode,
): Case => ({
  name,
  method,
  request,
  status,
  code,
});

/** In order: later cases build on the revisions that earlier ones applied. */
const CASES: readonly Case[] = [
  {
    name: 'valid rules',
    method: 'ValidateRules',
    request: { tenant, document },
    body: { services: 1, targets: 2, kinds: 1 },
  },
  refuse(
    'invalid rules',
    'ValidateRules',
    { tenant, document: '{}' },
    400,
    ResultCode.RulesInvalid,
  ),
  refuse(
    'rules that are no YAML',
    'ValidateRules',
    { tenant, document: 'a: [' },
    400,
    ResultCode.RulesInvalid,
  ),
  refuse('empty document', 'ValidateRules', { tenant }, 400, ResultCode.RulesInvalid),
  refuse(
    "another tenant's rules",
    'ValidateRules',
    { tenant: 'fjordbygg', document },
    403,
    ResultCode.TenantMismatch,
  ),
  refuse('no tenant', 'ValidateRules', { document }, 400, ResultCode.InvalidArgument),
  refuse(
    'in force before the first revision',
    'GetInForce',
    { tenant },
    404,
    ResultCode.RevisionNotFound,
  ),
  refuse(
    'wrong expected revision',
    'ApplyRules',
    { ...change, expectedRevision: '4' },
    409,
    ResultCode.RevisionConflict,
  ),
  refuse(
    'negative expected revision',
    'ApplyRules',
    { ...change, expectedRevision: '-1' },
    400,
    ResultCode.InvalidArgument,
  ),
  {
    name: 'first revision',
    method: 'ApplyRules',
    request: { ...change, expectedRevision: '0' },
    body: { revision },
  },
  {
    name: 'retry with the same operation id',
    method: 'ApplyRules',
    request: { ...change, expectedRevision: '0' },
    body: { revision },
  },
  refuse(
    'other change on the same revision',
    'ApplyRules',
    { ...change, operationId: 'op-2' },
    409,
    ResultCode.RevisionConflict,
  ),
  { name: 'newest rules', method: 'GetRules', request: { tenant }, body: { revision } },
  {
    name: 'rules by revision',
    method: 'GetRules',
    request: { tenant, revision: '1' },
    body: { revision },
  },
  refuse(
    'unknown revision',
    'GetRules',
    { tenant, revision: '9' },
    404,
    ResultCode.RevisionNotFound,
  ),
  refuse('unknown tenant', 'GetRules', { tenant: 'nobody' }, 404, ResultCode.RevisionNotFound),
  {
    name: 'history',
    method: 'ListRevisions',
    request: { tenant },
    body: { revisions: [revision] },
  },
  refuse(
    'history too long',
    'ListRevisions',
    { tenant, limit: 101 },
    400,
    ResultCode.InvalidArgument,
  ),
  {
    name: 'in force by zone and node',
    method: 'GetInForce',
    request: { tenant },
    body: {
      revision,
      zones: [
        { zone: 'zone-a', nodes: 1, nodesInForce: 1, lowestVersion: '1' },
        { zone: 'zone-b', nodes: 1, nodesInForce: 1, lowestVersion: '1' },
      ],
      nodes: [
        { node: 'a1', zone: 'zone-a', version: '1', inForce: true },
        { node: 'b1', zone: 'zone-b', version: '1', inForce: true },
      ],
    },
  },
  { name: 'drain of a target', method: 'DrainTarget', request: { target: 'guide-1' }, body: {} },
  {
    name: 'end of a drain',
    method: 'DrainTarget',
    request: { target: 'guide-1', resume: true },
    body: {},
  },
  refuse(
    'drain of an unknown target',
    'DrainTarget',
    { target: 'guide-9' },
    400,
    ResultCode.InvalidArgument,
  ),
  refuse(
    'drain of a target that no reachable node fronts',
    'DrainTarget',
    { target: 'guide-2' },
    503,
    ResultCode.PeerUnreachable,
  ),
  refuse('drain of an unknown node', 'DrainNode', { node: 'z9' }, 503, ResultCode.PeerUnreachable),
  { name: 'drain of this node', method: 'DrainNode', request: {}, body: { node: 'a1' } },
  refuse('unknown method', 'Explode', {}, 404, ResultCode.UnknownKind),
];

for (const { name, method, request, status = 200, code, body } of CASES) {
  test(`${method}: ${name}`, async () => {
    const reply = await call(method, request);
    assert.equal(reply.status, status, JSON.stringify(reply.body));
    assert.equal(reply.code, code === undefined ? null : String(code));
    if (body !== undefined) assert.deepEqual(reply.body, { ...reply.body, ...body });
    if (code === undefined) return;
    const [detail] = reply.body['details'] as { debug: Record<string, unknown> }[];
    assert.equal(detail?.debug['code'], code);
  });
}

test('drain commands reach the targets of the node and its kernel', () => {
  assert.deepEqual(admin.drained, ['guide-1 true', 'guide-1 false']);
  assert.equal(admin.stops.count, 1);
});

test('GetStatus shows node, members, targets with their metrics, revisions', async () => {
  admin.membership.others = [createMember('b1', 'zone-b', { leavingTargets: ['guide-2'] })];
  const { body } = await call('GetStatus', {});
  const status = body as unknown as {
    node: Record<string, unknown>;
    members: Record<string, unknown>[];
    targets: Record<string, unknown>[];
    revisions: unknown[];
  };
  assert.equal(status.node['id'], 'a1');
  assert.equal(status.node['ready'], true);
  assert.deepEqual(
    status.members.map(({ id, state }) => [id, state]),
    [
      ['a1', 'alive'],
      ['b1', 'alive'],
    ],
  );
  const service = { tenant, service: 'guide' };
  assert.deepEqual(status.targets, [
    {
      ...service,
      id: 'guide-1',
      zone: 'zone-a',
      address: '127.0.0.1:7001',
      state: 'serving',
      node: 'a1',
      measured: true,
      limit: 11.5,
      inFlight: 3,
      queued: 2,
    },
    {
      ...service,
      id: 'guide-2',
      zone: 'zone-b',
      address: '127.0.0.1:7002',
      state: 'leaving',
      node: 'b1',
    },
  ]);
  assert.deepEqual(status.revisions, [revision]);
});

function createTestClient(token: string) {
  const transport = createConnectTransport({
    baseUrl: admin.url,
    httpVersion: '1.1',
    interceptors: [
      (next) => (request) => {
        request.header.set('authorization', `Bearer ${token}`);
        return next(request);
      },
    ],
  });
  return createClient(AdminService, transport);
}

test('the generated client gets all violations, or the current revision on a conflict', async () => {
  const client = createTestClient(TEST_TOKEN);
  const invalid = createRulesDocument().replace('"slots":12', '"slots":0,"colour":"red"');
  const rejected = toFailure(
    await client.validateRules({ tenant, document: invalid }).catch((error: unknown) => error),
  );
  assert.equal(rejected.code, ResultCode.RulesInvalid);
  assert.equal(rejected.violations?.length, 2);
  const conflict = toFailure(
    await client
      .applyRules({ ...change, operationId: 'op-3', expectedRevision: 5n })
      .catch((error: unknown) => error),
  );
  assert.equal(conflict.currentRevision, 1);
});

const FAILURES = [
  { code: ResultCode.PlatformUnavailable, execution: 'not-run' },
  { code: ResultCode.PlatformRateLimited, execution: 'not-run' },
  { code: ResultCode.WriteOutcomeUnknown, execution: 'unknown' },
] as const;
for (const { code, execution } of FAILURES) {
  test(`ApplyRules returns ${ResultCode[code]} with execution and retry time`, async () => {
    const failure = createFailure(code, 'injected', { retryAfterMs: 250 });
    admin.repository.failures.push({ failure, applied: false });
    const call = createTestClient(TEST_TOKEN).applyRules({
      ...change,
      operationId: 'op-4',
      expectedRevision: 1n,
    });
    const received = toFailure(await call.catch((error: unknown) => error));
    assert.deepEqual(received, { code, detail: 'injected', execution, retryAfterMs: 250 });
  });
}

test('WatchRevisions sends what is in force, then each newer revision', async () => {
  const client = createTestClient(TEST_TOKEN);
  const seen: string[] = [];
  for await (const { revision: received } of client.watchRevisions({ tenant })) {
    seen.push(`${received?.operationId}@${received?.revision}`);
    if (seen.length === 3) break;
    const expectedRevision = Number(received?.revision);
    const applied = await admin.repository.apply({
      ...change,
      expectedRevision,
      operationId: `watch-${seen.length}`,
    });
    assert.ok(applied.isOk);
  }
  assert.deepEqual(seen, ['op-1@1', 'watch-1@2', 'watch-2@3']);
});

test('WatchRevisions rejects a wrong token with its result code', async () => {
  const iterator = createTestClient('wrong-token').watchRevisions({})[Symbol.asyncIterator]();
  const failure = toFailure(await iterator.next().catch((error: unknown) => error));
  assert.equal(failure.code, ResultCode.OperatorUnauthenticated);
});

test('stopping the server ends open watches', async () => {
  const other = await startTestAdmin();
  await other.repository.apply({ ...change, expectedRevision: 0 });
  const client = createClient(
    AdminService,
    createConnectTransport({
      baseUrl: other.url,
      httpVersion: '1.1',
      interceptors: [
        (next) => (request) => {
          request.header.set('authorization', `Bearer ${TEST_TOKEN}`);
          return next(request);
        },
      ],
    }),
  );
  const iterator = client.watchRevisions({})[Symbol.asyncIterator]();
  assert.equal((await iterator.next()).done, false);
  const end = iterator.next().catch(() => ({ done: true }));
  await other.server.stop();
  assert.equal((await end).done, true);
});

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { validateSettings } from '../config/settings.js';
import { hashToken } from '../config/operator-tokens.js';
import { ResultCode } from '../core/result-code.js';
import { AdminService } from '../gen/sillshore/admin/v1/admin_pb.js';
import {
  createRulesDocument,
  createTestSettings,
  startTestAdmin,
  TEST_TOKEN,
  type TestAdmin,
} from '../../test/support/test-admin.js';

const tenant = 'roteiro-vivo';
const document = createRulesDocument();
const hashOfOperator = `sha256:${hashToken('roteiro-operator').toString('hex')}`;

const settings = validateSettings({
  ...createTestSettings(),
  admin: {
    token: TEST_TOKEN,
    tokens: [
      { token: 'reader-of-all', tenants: 'all', role: 'reader' },
      { token: hashOfOperator, tenants: ['another', tenant], role: 'operator' },
      { token: 'roteiro-reader', tenants: [tenant], role: 'reader' },
      { token: 'fjordbygg-operator', tenants: ['fjordbygg'], role: 'operator' },
    ],
  },
}).unwrapOrElse((failure) => {
  throw new Error(JSON.stringify(failure));
});

let admin: TestAdmin;
before(async () => {
  admin = await startTestAdmin({ settings });
  const change = { tenant, document, expectedRevision: 0, operationId: 'op-0', author: 'ana' };
  assert.ok((await admin.repository.apply(change)).isOk);
});
after(() => admin.server.stop());

interface Answer {
  readonly code: number;
  readonly body: Record<string, unknown[] | undefined>;
}

async function call(token: string, method: string, request: unknown): Promise<Answer> {
  const answer = await fetch(`${admin.url}/${AdminService.typeName}/${method}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
    body: JSON.stringify(request),
  });
  const code = Number(answer.headers.get('sillshore-result') ?? ResultCode.Ok);
  return { code, body: (await answer.json()) as Answer['body'] };
}

/** Calls the streaming method; returns the result code in its first Connect envelope. */
async function watch(token: string, request: unknown): Promise<number> {
  const json = Buffer.from(JSON.stringify(request));
  const head = Buffer.alloc(5);
  head.writeUInt32BE(json.length, 1);
  const ended = new AbortController();
  const answer = await fetch(`${admin.url}/${AdminService.typeName}/WatchRevisions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/connect+json' },
    body: Buffer.concat([head, json]),
    signal: ended.signal,
  });
  const unauthenticated = answer.headers.get('sillshore-result');
  const first = await answer.body?.getReader().read();
  ended.abort();
  if (unauthenticated !== null) return Number(unauthenticated);
  const text = Buffer.from((first?.value as Uint8Array | undefined) ?? []).toString('utf8');
  return /"sillshore-result":\["(\d+)"\]/.exec(text) === null
    ? ResultCode.Ok
    : Number(/"sillshore-result":\["(\d+)"\]/.exec(text)?.[1]);
}

const { Ok, OperatorForbidden: Forbidden, OperatorUnauthenticated: Unauthenticated } = ResultCode;

/** Columns of {@link METHODS}. */
const TOKENS = [
  TEST_TOKEN,
  'reader-of-all',
  'roteiro-operator',
  'roteiro-reader',
  'fjordbygg-operator',
  hashOfOperator,
];
type Codes = readonly [number, number, number, number, number, number];
const READ: Codes = [Ok, Ok, Ok, Ok, Forbidden, Unauthenticated];
const CHANGE: Codes = [Ok, Forbidden, Ok, Forbidden, Forbidden, Unauthenticated];
const READ_ALL: Codes = [Ok, Ok, Forbidden, Forbidden, Forbidden, Unauthenticated];
const CHANGE_ALL: Codes = [Ok, Forbidden, Forbidden, Forbidden, Forbidden, Unauthenticated];
const READ_OWN: Codes = [Ok, Ok, Ok, Ok, Ok, Unauthenticated];
const NO_TARGET: Codes = [
  ResultCode.InvalidArgument,
  Forbidden,
  Forbidden,
  Forbidden,
  Forbidden,
  Unauthenticated,
];

// A retry of an applied change under its operation id gets the same response as the first call.
const retry = { tenant, document, expectedRevision: '0', operationId: 'op-0', author: 'ana' };
const METHODS: readonly (readonly [string, unknown, Codes])[] = [
  ['ValidateRules', { tenant, document }, READ],
  ['ApplyRules', retry, CHANGE],
  ['GetRules', { tenant }, READ],
  ['ListRevisions', { tenant }, READ],
  ['GetInForce', { tenant }, READ],
  ['WatchRevisions', { tenant }, READ],
  ['WatchRevisions', {}, READ_ALL],
  ['GetStatus', {}, READ_OWN],
  ['DrainTarget', { target: 'guide-1' }, CHANGE],
  ['DrainTarget', { target: 'no-such-target' }, NO_TARGET],
  ['DrainNode', {}, CHANGE_ALL],
];

for (const [method, request, codes] of METHODS) {
  for (const [index, token] of TOKENS.entries()) {
    const expected = codes[index]!;
    const tokenName = token === hashOfOperator ? 'a hash of the settings' : token;
    test(`${method} ${Object.keys(request as object).join()} as ${tokenName}`, async () => {
      const code =
        method === 'WatchRevisions'
          ? await watch(token, request)
          : (await call(token, method, request)).code;
      assert.equal(ResultCode[code], ResultCode[expected]);
    });
  }
}

test('every method of the service is in the table', () => {
  const covered = new Set(METHODS.map(([method]) => method));
  assert.deepEqual(
    AdminService.methods.map(({ name }) => name).filter((m) => !covered.has(m)),
    [],
  );
});

test('a rejected change reaches neither the repository nor the node', async () => {
  const { applies } = admin.repository;
  const stops = admin.stops.count;
  const drained = admin.drained.length;
  await call('fjordbygg-operator', 'ApplyRules', { ...retry, operationId: 'op-1' });
  await call('fjordbygg-operator', 'DrainTarget', { target: 'guide-1' });
  await call('fjordbygg-operator', 'DrainNode', {});
  assert.deepEqual(
    [admin.repository.applies, admin.drained.length, admin.stops.count],
    [applies, drained, stops],
  );
});

const VISIBLE_COUNTS: readonly (readonly [string, number, number, number])[] = [
  ['reader-of-all', 2, 2, 1],
  ['roteiro-reader', 0, 2, 1],
  ['fjordbygg-operator', 0, 0, 0],
];
for (const [token, members, targets, revisions] of VISIBLE_COUNTS) {
  test(`status as ${token}: ${members} members, ${targets} targets`, async () => {
    const { body } = await call(token, 'GetStatus', {});
    const lengths = [body['members'], body['targets'], body['revisions']].map(
      (list) => list?.length ?? 0,
    );
    assert.deepEqual(lengths, [members, targets, revisions]);
  });
}

const full = { token: 'a full token' };
const grant = { tenants: [tenant], role: 'reader' };
const INVALID: readonly (readonly [string, unknown])[] = [
  ['no tenants', { ...full, tokens: [{ ...grant, token: 'a token', tenants: [] }] }],
  ['an unknown role', { ...full, tokens: [{ ...grant, token: 'a token', role: 'owner' }] }],
  ['a short hash', { ...full, tokens: [{ ...grant, token: 'sha256:00ff' }] }],
  ['the same token twice', { ...full, tokens: [{ ...grant, token: full.token }] }],
  [
    'the same token in clear and as its hash',
    { token: hashOfOperator, tokens: [{ ...grant, token: 'roteiro-operator' }] },
  ],
];
for (const [name, value] of INVALID) {
  test(`settings are rejected: ${name}`, () => {
    const result = validateSettings({ ...createTestSettings(), admin: value });
    assert.equal(result.isErr && result.error.code, ResultCode.SettingsInvalid);
  });
}

import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { createRandom } from '../core/random.js';
import { ResultCode } from '../core/result-code.js';
import { AdminService } from '../gen/sillshore/admin/v1/admin_pb.js';
import { Event } from '../kernel/event.js';
import { MAX_REQUEST_BYTES } from './admin-server.js';
import {
  createRulesDocument,
  createTestSettings,
  startTestAdmin,
  TEST_TOKEN,
  type TestAdmin,
} from '../../test/support/test-admin.js';

let admin: TestAdmin;
before(async () => {
  admin = await startTestAdmin();
});
after(() => admin.server.stop());

const JSON_TYPE = 'application/json';
const STATUS = `/${AdminService.typeName}/GetStatus`;
const VALIDATE = `/${AdminService.typeName}/ValidateRules`;
const authorized = { authorization: `Bearer ${TEST_TOKEN}`, 'content-type': JSON_TYPE };
const oversized = JSON.stringify({ tenant: 'a', document: 'x'.repeat(MAX_REQUEST_BYTES) });

interface BadRequest {
  readonly name: string;
  readonly path?: string;
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string | Uint8Array;
  readonly status: number;
  readonly code: ResultCode;
}

const UNAUTHENTICATED = { status: 401, code: ResultCode.OperatorUnauthenticated };
const MALFORMED = { status: 400, code: ResultCode.MalformedRequest };

const BAD_REQUESTS: readonly BadRequest[] = [
  { name: 'no token', headers: { 'content-type': JSON_TYPE }, ...UNAUTHENTICATED },
  {
    name: 'wrong token',
    headers: { ...authorized, authorization: 'Bearer wrong' },
    ...UNAUTHENTICATED,
  },
  {
    name: 'a longer token',
    headers: { ...authorized, authorization: `Bearer ${TEST_TOKEN}x` },
    ...UNAUTHENTICATED,
  },
  {
    name: 'another scheme',
    headers: { ...authorized, authorization: `Basic ${TEST_TOKEN}` },
    ...UNAUTHENTICATED,
  },
  { name: 'empty token', headers: { ...authorized, authorization: 'Bearer ' }, ...UNAUTHENTICATED },
  {
    name: 'wrong token on an unknown method',
    path: `/${AdminService.typeName}/Nope`,
    headers: {},
    ...UNAUTHENTICATED,
  },
  { name: 'malformed JSON', body: '{"tenant":', ...MALFORMED },
  { name: 'JSON of another type', body: '[1]', ...MALFORMED },
  { name: 'wrong field type', path: VALIDATE, body: '{"tenant":5}', ...MALFORMED },
  { name: 'unknown field', path: VALIDATE, body: '{"tenants":"a"}', ...MALFORMED },
  {
    name: 'malformed protobuf',
    headers: { ...authorized, 'content-type': 'application/proto' },
    body: new Uint8Array([10, 200, 1]),
    ...MALFORMED,
  },
  {
    name: 'unknown content type',
    headers: { ...authorized, 'content-type': 'text/plain' },
    status: 415,
    code: ResultCode.InvalidField,
  },
  { name: 'wrong method', method: 'PUT', status: 405, code: ResultCode.MalformedRequest },
  {
    name: 'oversized body',
    path: VALIDATE,
    body: oversized,
    status: 429,
    code: ResultCode.BodyTooLarge,
  },
  { name: 'unknown path', path: '/nope', status: 404, code: ResultCode.UnknownKind },
  { name: 'path with broken escape', path: '/%zz', status: 404, code: ResultCode.UnknownKind },
];

for (const {
  name,
  path = STATUS,
  method = 'POST',
  headers = authorized,
  body = '{}',
  status,
  code,
} of BAD_REQUESTS) {
  test(`bad request: ${name}`, async () => {
    const answer = await fetch(`${admin.url}${path}`, { method, headers, body });
    const text = await answer.text();
    assert.equal(answer.status, status, text);
    assert.equal(answer.headers.get('sillshore-result'), String(code));
    assert.match(text, new RegExp(`"code":${code}\\b`));
    await assertServes();
  });
}

/** Checks that the server still serves an ordinary call. */
async function assertServes(): Promise<void> {
  const answer = await fetch(`${admin.url}${STATUS}`, {
    method: 'POST',
    headers: authorized,
    body: '{}',
  });
  assert.equal(answer.status, 200);
}

/** Sends raw bytes and reads until the server closes. */
async function exchange(bytes: Uint8Array, port = admin.port): Promise<string> {
  const chunks: Buffer[] = [];
  await new Promise<void>((resolve, reject) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(bytes));
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('close', () => {
      resolve();
    });
    socket.on('error', reject);
  });
  return Buffer.concat(chunks).toString('latin1');
}

function randomBytes(seed: number): Uint8Array {
  const random = createRandom(seed);
  return Uint8Array.from({ length: 300 }, () => Math.floor(random.next() * 256));
}

const RAW: readonly (readonly [string, Uint8Array])[] = [
  ['random bytes', randomBytes(1)],
  ['random bytes, other seed', randomBytes(2)],
  ['a TLS hello', Uint8Array.from([22, 3, 1, 0, 200, 1, 0, 0, 196, 3, 3])],
  ['a BSON frame', Uint8Array.from([0, 0, 0, 8, 5, 0, 0, 0, 0])],
  ['a header line without colon', Buffer.from('GET / HTTP/1.1\r\nbroken\r\n\r\n')],
  ['an endless header', Buffer.from(`GET / HTTP/1.1\r\nx: ${'a'.repeat(100_000)}`)],
  ['no Host field', Buffer.from('GET / HTTP/1.1\r\n\r\n')],
  [
    'two lengths',
    Buffer.from('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n'),
  ],
];
for (const [name, bytes] of RAW) {
  test(`malformed bytes get a response with a result code: ${name}`, async () => {
    const answer = await exchange(bytes);
    assert.match(answer, /^HTTP\/1\.1 400 /);
    assert.match(answer, new RegExp(`sillshore-result: ${ResultCode.MalformedRequest}`));
    await assertServes();
  });
}

const REQUEST_HEAD = `POST ${STATUS} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${TEST_TOKEN}\r\n`;
const SLOW: readonly (readonly [string, string])[] = [
  ['a head that does not end', REQUEST_HEAD],
  [
    'a body that does not end',
    `${REQUEST_HEAD}Content-Type: ${JSON_TYPE}\r\nContent-Length: 9\r\n\r\n{`,
  ],
  ['nothing at all', ''],
];
for (const [name, text] of SLOW) {
  test(`a slow sender gets a response with a result code: ${name}`, async () => {
    const limits = { requestMs: 40, headersMs: 20, checkMs: 10 };
    const slow = await startTestAdmin({}, limits);
    const answer = await exchange(Buffer.from(text), slow.port);
    await slow.server.stop();
    assert.match(answer, /^HTTP\/1\.1 408 /);
    assert.match(answer, new RegExp(`sillshore-result: ${ResultCode.RequestReadTimeout}`));
  });
}

test('health, readiness and metrics need no token', async () => {
  await admin.repository.apply({
    tenant: 'roteiro-vivo',
    document: createRulesDocument(),
    expectedRevision: 0,
    operationId: 'op-1',
    author: 'ana',
  });
  const health = await fetch(`${admin.url}/healthz`);
  assert.deepEqual([health.status, await health.json()], [200, { state: 'running' }]);
  const ready = await fetch(`${admin.url}/readyz`);
  assert.deepEqual([ready.status, await ready.json()], [200, { ready: true, draining: false }]);
  const metrics = await fetch(`${admin.url}/metrics`);
  assert.match(await metrics.text(), /^# HELP sillshore_requests_total /m);
});

test('a draining node is not ready', async () => {
  const draining = await startTestAdmin({ kernel: { draining: true, requestStop: () => {} } });
  const ready = await fetch(`${draining.url}/readyz`);
  assert.deepEqual([ready.status, await ready.json()], [503, { ready: false, draining: true }]);
  await draining.server.stop();
});

test('a node without configuration responds with NotReady', async () => {
  const bare = await startTestAdmin({
    rulesRepository: undefined,
    configStore: undefined,
    membership: undefined,
  });
  const url = `${bare.url}${VALIDATE}`;
  const answer = await fetch(url, { method: 'POST', headers: authorized, body: '{"tenant":"a"}' });
  assert.equal(answer.status, 503);
  assert.equal(answer.headers.get('sillshore-result'), String(ResultCode.NotReady));
  await bare.server.stop();
});

test('start rejects when the address is taken', async () => {
  const settings = createTestSettings();
  const taken = { ...settings, listen: { ...settings.listen, admin: `127.0.0.1:${admin.port}` } };
  await assert.rejects(startTestAdmin({ settings: taken }), /EADDRINUSE/);
});

test('an exception in a method is logged and returned as an internal error', async () => {
  const logged: Event[] = [];
  const broken = await startTestAdmin({
    log: { emit: (event) => logged.push(event) },
    kernel: {
      draining: false,
      requestStop: () => {
        throw new Error('defect');
      },
    },
  });
  const url = `${broken.url}/${AdminService.typeName}/DrainNode`;
  const answer = await fetch(url, { method: 'POST', headers: authorized, body: '{}' });
  assert.equal(answer.status, 500);
  assert.equal(answer.headers.get('sillshore-result'), String(ResultCode.Internal));
  assert.doesNotMatch(await answer.text(), /defect/);
  assert.deepEqual(logged, [Event.OperatorRequest, Event.InternalError]);
  await broken.server.stop();
});

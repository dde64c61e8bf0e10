/** Contract of the callers' interface: bad input gets its result code, others are served. */
import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { connect } from 'node:net';
import { after, before, beforeEach, test } from 'node:test';
import { ResultCode } from '../core/result-code.js';
import {
  MAX_REQUEST_BYTES,
  startEntryContract,
  type EntryContract,
} from '../../test/support/contract-fleets.js';
import type { DataPathNode } from '../../test/support/data-path-node.js';
import { send, sendRaw } from '../../test/support/raw-http.js';
import { answerPlain, type ScriptedBackend } from '../../test/support/scripted-backend.js';

let contract: EntryContract;
let backend: ScriptedBackend;
let node: DataPathNode;

before(async () => {
  contract = await startEntryContract();
  ({ backend, node } = contract);
});

beforeEach(() => {
  backend.setScript(answerPlain);
});

after(() => contract.stop());

interface InputCase {
  readonly name: string;
  readonly raw: string;
  readonly code: ResultCode;
  readonly status: number;
}

const HEAD = 'GET /steps HTTP/1.1\r\nHost: guide\r\n';
const POST = 'POST /steps HTTP/1.1\r\nHost: guide\r\nConnection: close\r\n';
const CLOSE = 'Connection: close\r\n\r\n';

const INPUTS: readonly InputCase[] = [
  { name: 'garbage', raw: '\x00\x01\x02\r\n\r\n', code: ResultCode.MalformedRequest, status: 400 },
  {
    name: 'TLS hello',
    raw: '\x16\x03\x01\x02\x00',
    code: ResultCode.MalformedRequest,
    status: 400,
  },
  {
    name: 'head larger than the limit',
    raw: `${HEAD}X-Big: ${'x'.repeat(20_000)}\r\n${CLOSE}`,
    code: ResultCode.MalformedRequest,
    status: 400,
  },
  {
    name: 'Content-Length and chunked together',
    raw: `${POST}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
    code: ResultCode.MalformedRequest,
    status: 400,
  },
  {
    name: 'two Host fields',
    raw: `${HEAD}Host: other\r\n${CLOSE}`,
    code: ResultCode.MalformedRequest,
    status: 400,
  },
  {
    name: 'no Host field',
    raw: `GET /steps HTTP/1.1\r\n${CLOSE}`,
    code: ResultCode.MalformedRequest,
    status: 400,
  },
  {
    name: 'CONNECT',
    raw: `CONNECT guide:1 HTTP/1.1\r\nHost: guide:1\r\n\r\n`,
    code: ResultCode.MalformedRequest,
    status: 400,
  },
  {
    name: 'unknown service',
    raw: `GET /steps HTTP/1.1\r\nHost: nobody\r\n${CLOSE}`,
    code: ResultCode.UnknownService,
    status: 404,
  },
  {
    name: 'unknown kind',
    raw: `GET /other HTTP/1.1\r\nHost: guide\r\n${CLOSE}`,
    code: ResultCode.UnknownKind,
    status: 404,
  },
  {
    name: 'declared body too large',
    raw: `${POST}Content-Length: ${MAX_REQUEST_BYTES + 1}\r\n\r\n${'x'.repeat(MAX_REQUEST_BYTES + 1)}`,
    code: ResultCode.BodyTooLarge,
    status: 413,
  },
  {
    name: 'chunked body too large',
    raw: `${POST}Transfer-Encoding: chunked\r\n\r\n7d0\r\n${'x'.repeat(2_000)}\r\n0\r\n\r\n`,
    code: ResultCode.BodyTooLarge,
    status: 413,
  },
  {
    name: 'slow head',
    raw: HEAD,
    code: ResultCode.RequestReadTimeout,
    status: 408,
  },
  {
    name: 'slow body',
    raw: `${POST}Content-Length: 10\r\n\r\nhalf`,
    code: ResultCode.RequestReadTimeout,
    status: 408,
  },
  {
    name: 'garbage in a chunked body',
    raw: `${POST}Transfer-Encoding: chunked\r\n\r\nzz\r\n`,
    code: ResultCode.MalformedRequest,
    status: 400,
  },
  {
    name: 'timeout field that is not a number',
    raw: `${HEAD}Sillshore-Timeout: soon\r\n${CLOSE}`,
    code: ResultCode.InvalidField,
    status: 400,
  },
  {
    name: 'timeout field out of range',
    raw: `${HEAD}Sillshore-Timeout: 0\r\n${CLOSE}`,
    code: ResultCode.InvalidField,
    status: 400,
  },
  {
    name: 'key that is not a UUIDv7',
    raw: `${HEAD}Idempotency-Key: abc\r\n${CLOSE}`,
    code: ResultCode.InvalidField,
    status: 400,
  },
  {
    name: 'non-idempotent kind without a key',
    raw: `POST /promises HTTP/1.1\r\nHost: guide\r\nContent-Length: 0\r\n${CLOSE}`,
    code: ResultCode.IdempotencyKeyRequired,
    status: 400,
  },
  {
    name: 'internal service without its context',
    raw: `GET /x HTTP/1.1\r\nHost: ledger\r\n${CLOSE}`,
    code: ResultCode.CallContextRequired,
    status: 400,
  },
  {
    name: 'internal kind of an open service without its context',
    raw: `GET /parts HTTP/1.1\r\nHost: guide\r\n${CLOSE}`,
    code: ResultCode.CallContextRequired,
    status: 400,
  },
  {
    name: 'context of an attempt that is not running',
    raw: `GET /x HTTP/1.1\r\nHost: ledger\r\nBaggage: sillshore-parent=a.b.c\r\n${CLOSE}`,
    code: ResultCode.CallContextRequired,
    status: 400,
  },
];

for (const { name, raw, code, status } of INPUTS) {
  test(`bad input: ${name}`, async () => {
    const seenBefore = backend.seen.length;
    const other = send({ port: node.entryPort, path: '/steps/other' });
    const received = await sendRaw(node.entryPort, raw);
    const [head = '', body = ''] = received.split('\r\n\r\n');
    assert.match(head, new RegExp(`^HTTP/1.1 ${status} `));
    assert.match(head, new RegExp(`\\r\\nSillshore-Result: ${code}\\r\\n`));
    const document = JSON.parse(body) as { code: number; execution: string };
    assert.deepEqual([document.code, document.execution], [code, 'not-run']);
    assert.equal((await other).body, '/steps/other');
    assert.deepEqual(backend.seen.slice(seenBefore), ['/steps/other']);
  });
}

test('a request that is cut off in its body never reaches the back end', async () => {
  const seenBefore = backend.seen.length;
  const socket = connect(node.entryPort, '127.0.0.1');
  socket.write(`${POST}Content-Length: 10\r\n\r\nhalf`);
  await new Promise<void>((resolve) => socket.end(resolve));
  await new Promise((resolve) => socket.once('close', resolve).resume());
  assert.equal((await send({ port: node.entryPort, path: '/steps/next' })).body, '/steps/next');
  assert.deepEqual(backend.seen.slice(seenBefore), ['/steps/next']);
});

test('Expect: 100-continue is answered before the body, and not for a refused body', async () => {
  const expecting = `${POST}Expect: 100-continue\r\n`;
  const wanted = `${expecting}Content-Length: 2\r\n\r\nab`;
  assert.match(
    await sendRaw(node.entryPort, wanted),
    /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200/,
  );
  const refused = `${expecting}Content-Length: ${MAX_REQUEST_BYTES + 1}\r\n\r\n`;
  assert.match(await sendRaw(node.entryPort, refused), /^HTTP\/1.1 413/);
});

test('pipelined requests are answered in their order', async () => {
  const request = (path: string, last = ''): string =>
    `GET ${path} HTTP/1.1\r\nHost: guide\r\n${last}\r\n`;
  const raw =
    request('/steps/1') + request('/steps/2') + request('/steps/3', 'Connection: close\r\n');
  const received = await sendRaw(node.entryPort, raw);
  assert.deepEqual(received.match(/\/steps\/\d/g), ['/steps/1', '/steps/2', '/steps/3']);
});

test('method, path, query, body and fields pass unchanged, context is added', async () => {
  await send({
    port: node.entryPort,
    method: 'PUT',
    path: '/steps/a%20b?x=1&y=%2F',
    headers: { 'X-One': ['1', '2'], Connection: 'X-Hop', 'X-Hop': 'h', baggage: 'user=7' },
    body: 'abc',
  });
  const head = backend.heads.at(-1) ?? '';
  assert.match(head, /^PUT \/steps\/a%20b\?x=1&y=%2F HTTP\/1.1\r\n/);
  assert.match(head, /X-One: 1\r\nX-One: 2\r\n/);
  assert.match(head, /\r\nContent-Length: 3\r\n/);
  assert.match(head, /\r\ntraceparent: 00-[0-9a-f]{32}-[0-9a-f]{16}-00/);
  assert.match(
    head,
    /\r\nbaggage: user=7,sillshore-parent=node-a\.\w+\.\w+,sillshore-node=node-a,/,
  );
  const left = Number(/sillshore-deadline=(\d+)/.exec(head)?.[1]);
  assert.ok(left > 0 && left <= 500);
  assert.doesNotMatch(head, /X-Hop/);
});

test("the caller's own timeout shortens the deadline", async () => {
  backend.setScript(() => undefined);
  const headers = { 'Sillshore-Timeout': '40' };
  const answer = await send({ port: node.entryPort, path: '/steps/slow', headers });
  const codes = [ResultCode.AnswerTimeout, ResultCode.DeadlineExceeded].map(String);
  assert.ok(codes.includes(String(answer.headers['sillshore-result'])));
  assert.equal(answer.headers['sillshore-execution'], 'unknown');
  assert.ok(Number(/sillshore-deadline=(\d+)/.exec(backend.heads.at(-1) ?? '')?.[1]) <= 40);
});

test('connections are kept alive', async () => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const first = await send({ port: node.entryPort, path: '/steps/1', agent });
  assert.equal(first.headers.connection, 'keep-alive');
  assert.equal(first.headers['keep-alive'], 'timeout=5');
  assert.equal((await send({ port: node.entryPort, path: '/steps/2', agent })).body, '/steps/2');
  agent.destroy();
});

/** The admin port with TLS. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { validateSettings } from '../config/settings.js';
import { ResultCode } from '../core/result-code.js';
import { AdminService } from '../gen/sillshore/admin/v1/admin_pb.js';
import { ManualClock } from '../kernel/clock.js';
import { Event, type EventFields } from '../kernel/event.js';
import { OTHER_CA_TLS, TEST_TLS } from '../../test/support/test-certificates.js';
import { createTestSettings, startTestAdmin, TEST_TOKEN } from '../../test/support/test-admin.js';
import type { TestAdmin } from '../../test/support/test-admin.js';
import { toFailure } from './connect-error.js';

const { certificate, key } = TEST_TLS;
const plain = createTestSettings();
const settings = { ...plain, admin: { ...plain.admin, tls: { certificate, key } } };

let admin: TestAdmin;
let plainAdmin: TestAdmin;
const events: (readonly [Event, EventFields])[] = [];
let wake = (): void => {};
const log = {
  emit: (event: Event, fields: EventFields = {}): void => {
    events.push([event, fields]);
    wake();
  },
};

before(async () => {
  admin = await startTestAdmin({ settings, log });
  plainAdmin = await startTestAdmin();
});
after(async () => {
  await Promise.all([admin.server.stop(), plainAdmin.server.stop()]);
});

/** Calls GetStatus and returns its result code. */
async function fetchStatus(baseUrl: string, ca: string): Promise<ResultCode> {
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: '1.1',
    nodeOptions: baseUrl.startsWith('https:') ? { ca, agent: false } : { agent: false },
    interceptors: [
      (next) => (request) => {
        request.header.set('authorization', `Bearer ${TEST_TOKEN}`);
        return next(request);
      },
    ],
  });
  try {
    await createClient(AdminService, transport).getStatus({});
    return ResultCode.Ok;
  } catch (error) {
    return toFailure(error).code;
  }
}

const { Ok, PeerLost, PeerUnreachable } = ResultCode;
const CASES: readonly (readonly [string, () => Promise<ResultCode>, ResultCode])[] = [
  ['the right CA', () => fetchStatus(urlOf(admin, 'https'), TEST_TLS.ca), Ok],
  ['another CA', () => fetchStatus(urlOf(admin, 'https'), OTHER_CA_TLS.ca), PeerUnreachable],
  ['a client without TLS', () => fetchStatus(urlOf(admin, 'http'), ''), PeerLost],
  [
    'TLS to a port without TLS',
    () => fetchStatus(urlOf(plainAdmin, 'https'), TEST_TLS.ca),
    PeerUnreachable,
  ],
];

function urlOf({ port }: TestAdmin, scheme: string): string {
  return `${scheme}://127.0.0.1:${port}`;
}

for (const [name, run, expected] of CASES) {
  test(`${name}: ${ResultCode[expected]}, and the port still serves`, async () => {
    assert.equal(ResultCode[await run()], ResultCode[expected]);
    assert.equal(await fetchStatus(urlOf(admin, 'https'), TEST_TLS.ca), Ok);
    assert.equal(await fetchStatus(urlOf(plainAdmin, 'http'), ''), Ok);
  });
}

test('a request without TLS to the TLS port is closed and logged', async () => {
  events.length = 0;
  const socket = connect(admin.port, '127.0.0.1');
  socket.on('error', () => {});
  socket.resume();
  socket.write('GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n');
  const logged = new Promise<void>((resolve) => {
    wake = resolve;
  });
  await Promise.all([once(socket, 'close'), logged]);
  assert.deepEqual(
    events.map(([event, { error }]) => [event, error]),
    [[Event.OperatorRejected, 'ERR_SSL_HTTP_REQUEST']],
  );
});

test('a stop does not wait for a client that never completes its TLS handshake', async () => {
  events.length = 0;
  const clock = new ManualClock();
  const limits = { requestMs: 30_000, headersMs: 30_000, checkMs: 1_000 };
  const stopping = await startTestAdmin({ settings, log, clock }, limits);
  const socket = connect(stopping.port, '127.0.0.1');
  socket.on('error', () => {});
  await once(socket, 'connect');
  assert.equal(await fetchStatus(urlOf(stopping, 'https'), TEST_TLS.ca), Ok);
  const stopped = stopping.server.stop();
  clock.advance(2_000);
  await stopped;
  // The handshake timeout, which would log this event, did not close the connection.
  assert.ok(!events.some(([event]) => event === Event.OperatorRejected));
});

const INVALID: readonly (readonly [string, unknown])[] = [
  ['no PEM', { certificate: 'x', key }],
  ['the key of another certificate', { certificate, key: OTHER_CA_TLS.key }],
  ['no key', { certificate }],
];
for (const [name, tls] of INVALID) {
  test(`settings are rejected: ${name}`, () => {
    const result = validateSettings({ ...plain, admin: { ...plain.admin, tls } });
    assert.equal(result.isErr && result.error.code, ResultCode.SettingsInvalid);
    const text = JSON.stringify(result);
    assert.ok(!text.includes('PRIVATE KEY'));
  });
}

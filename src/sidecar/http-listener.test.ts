import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { sendRequest, waitUntil } from '../../test/stand-ins/mesh.js';
import { findFreePort } from '../trials/free-ports.js';
import { systemClock } from '../kernel/clock.js';
import { ConnectionGuard } from '../http/connection-guard.js';
import { HttpListener } from './http-listener.js';
import { silentReports } from '../../test/support/silent-reports.js';

function createGuard(): ConnectionGuard {
  const limits = {
    connections: 10,
    requests: { perConnection: 8, total: 100 },
    unreadAnswerBytes: Infinity,
    answerReadTimeoutMs: 30_000,
  };
  return new ConnectionGuard(limits, systemClock, silentReports);
}

test('a request in progress is answered before the listener closes', async () => {
  const port = await findFreePort();
  const calls: (() => void)[] = [];
  const listener = new HttpListener((_request, response) => {
    calls.push(() => response.writeHead(200).end('whole'));
  }, createGuard());
  await listener.listen('127.0.0.1', port);
  const call = sendRequest(`127.0.0.1:${port}`, { path: '/' });
  await waitUntil(() => calls.length === 1);
  const closed = listener.close();
  calls[0]!();
  assert.equal((await call).body, 'whole');
  await closed;
  await assert.rejects(sendRequest(`127.0.0.1:${port}`, { path: '/' }), { code: 'ECONNREFUSED' });
});

test('a request without an answer delays the close only for a short time', async () => {
  const port = await findFreePort();
  const listener = new HttpListener(() => {
    // Never answered.
  }, createGuard());
  await listener.listen('127.0.0.1', port);
  const call = assert.rejects(sendRequest(`127.0.0.1:${port}`, { path: '/' }));
  await new Promise((resolve) => setTimeout(resolve, 50));
  await listener.close();
  await call;
});

test('a body that nobody needs is read and counts as work', async () => {
  const port = await findFreePort();
  const guard = createGuard();
  const listener = new HttpListener((_request, response) => {
    response.writeHead(200).end();
  }, guard);
  await listener.listen('127.0.0.1', port);
  const socket = connect(port, '127.0.0.1');
  socket.write(`GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(2_000)}`);
  await waitUntil(() => (guard.connections[0]?.readWork ?? 0) >= 200);
  socket.destroy();
  await listener.close();
});

test('a listener that never listened can be closed', async () => {
  await new HttpListener(() => {}, createGuard()).close();
});

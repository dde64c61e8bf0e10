/** The entry listener on real sockets: effects of the end of a connection on its requests. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { waitUntil } from '../../test/stand-ins/mesh.js';
import { systemClock } from '../kernel/clock.js';
import { startEntryServer, type EntryServer } from './entry-server.js';
import type { HttpExchange } from './http-exchange.js';
import { silentReports } from '../../test/support/silent-reports.js';

/** More than the socket buffers of both ends hold. */
const LARGE_BYTES = 16 * 1024 * 1024;

let server: EntryServer;
let exchanges: HttpExchange[];

beforeEach(async () => {
  exchanges = [];
  server = await startEntryServer({
    host: '127.0.0.1',
    port: 0,
    framework: 'node-http',
    headersTimeoutMs: 5_000,
    limits: {
      connections: 100,
      requests: { perConnection: 64, total: 1_000 },
      unreadAnswerBytes: 2 * LARGE_BYTES,
      answerReadTimeoutMs: 30_000,
    },
    reports: silentReports,
    clock: systemClock,
    onExchange: (exchange) => exchanges.push(exchange),
    onBadInput: () => ({ status: 400, headers: [], body: Buffer.from('bad') }),
  });
});

afterEach(() => server.close());

test('bad input after pipelined requests does not cut off their answers', async () => {
  const socket = connect(server.port, '127.0.0.1');
  let text = '';
  let ended = false;
  socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
  socket.on('error', () => {});
  socket.on('close', () => (ended = true));
  socket.write(
    'GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nnot HTTP\r\n\r\n',
  );
  await waitUntil(() => exchanges.length === 2);
  await new Promise((resolve) => setTimeout(resolve, 50));
  exchanges[0]!.answer({ status: 200, headers: [], body: Buffer.from('one') }, false);
  exchanges[1]!.answer({ status: 200, headers: [], body: Buffer.from('two') }, false);
  await waitUntil(() => ended);
  assert.match(text, /one[^]*connection: close[^]*two$/i);
});

test('an answer counts as unfinished until it is written', async () => {
  const socket = connect(server.port, '127.0.0.1');
  socket.pause();
  socket.write('GET /1 HTTP/1.1\r\nHost: h\r\n\r\n');
  await waitUntil(() => exchanges.length === 1);
  exchanges[0]!.answer({ status: 200, headers: [], body: Buffer.alloc(LARGE_BYTES) }, true);
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(server.unfinishedExchanges, 1);
  socket.resume();
  await waitUntil(() => server.unfinishedExchanges === 0);
  socket.destroy();
});

test('pipelined requests no longer count as unfinished once their connection is gone', async () => {
  const socket = connect(server.port, '127.0.0.1');
  socket.write('GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n');
  await waitUntil(() => exchanges.length === 2);
  assert.equal(server.unfinishedExchanges, 2);
  socket.destroy();
  await waitUntil(() => server.unfinishedExchanges === 0);
});

test('the last of the pipelined requests closes the connection, and none is accepted after it', async () => {
  const socket = connect(server.port, '127.0.0.1');
  let text = '';
  let ended = false;
  socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
  socket.on('close', () => (ended = true));
  const get = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
  socket.write(get('/1') + get('/2'));
  await waitUntil(() => exchanges.length === 2);
  exchanges[1]!.answer({ status: 200, headers: [], body: Buffer.from('two;') }, true);
  socket.write(get('/3'));
  await new Promise((resolve) => setTimeout(resolve, 50));
  exchanges[0]!.answer({ status: 200, headers: [], body: Buffer.from('one;') }, true);
  await waitUntil(() => ended);
  assert.deepEqual(text.match(/one;|two;/g), ['one;', 'two;']);
  assert.equal(text.match(/connection: close/gi)?.length, 1);
  assert.equal(exchanges.length, 2);
});

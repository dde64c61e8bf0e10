import assert from 'node:assert/strict';
import { test } from 'node:test';
import { systemClock } from '../kernel/clock.js';
import { send, sendRaw } from '../../test/support/raw-http.js';
import { startEntryServer, type EntryFramework } from './entry-server.js';

const FRAMEWORKS: readonly EntryFramework[] = ['node-http', 'express'];

for (const framework of FRAMEWORKS) {
  test(`the listener serves the same with ${framework}`, async () => {
    const server = await startEntryServer({
      host: '127.0.0.1',
      port: 0,
      framework,
      headersTimeoutMs: 1_000,
      clock: systemClock,
      onExchange: (exchange) => {
        const headers: [string, string][] = [
          ['Set-Cookie', 'a'],
          ['Set-Cookie', 'b'],
        ];
        const body = Buffer.from(`${exchange.method} ${exchange.path}`);
        exchange.answer({ status: 201, headers, body }, false);
      },
      onBadInput: ({ detail }) => ({ status: 400, headers: [], body: Buffer.from(detail) }),
    });
    const { port } = server;
    const answer = await send({ port, path: '/a?b=1', method: 'POST', body: 'x' });
    assert.deepEqual([answer.status, answer.body], [201, 'POST /a?b=1']);
    assert.deepEqual(answer.headers['set-cookie'], ['a', 'b']);
    assert.equal(answer.headers['x-powered-by'], undefined);
    assert.match(await sendRaw(port, 'garbage\r\n\r\n'), /^HTTP\/1.1 400 /);
    await server.close();
    assert.equal(server.connections, 0);
  });
}

/** Requests to a server that writes raw bytes, within the limits on an answer and beyond them. */
import assert from 'node:assert/strict';
import { Agent, request as httpRequest } from 'node:http';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { createAnswerIntake } from '../../test/support/answer-intake.js';
import { sendWithoutEnd, ENDLESS_ANSWERS } from '../../test/support/endless-bytes.js';
import type { AnswerIntake, AnswerLimit } from './answer-intake.js';

const LIMITS = { maxBodyBytes: 1_000_000, maxOverheadBytes: 100_000 };
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

let server: Server;
let agent: Agent;
let intake: AnswerIntake;
let limitsHit: AnswerLimit[];
let answer: (connection: Socket) => void;

beforeEach(async () => {
  limitsHit = [];
  intake = createAnswerIntake(LIMITS, (limit) => limitsHit.push(limit));
  agent = new Agent({ keepAlive: true });
  server = createServer((connection) => {
    connection.on('error', () => {
      // The client closes the connection.
    });
    connection.on('data', () => {
      answer(connection);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
});

afterEach(() => {
  agent.destroy();
  server.close();
});

/** Returns the body, or the description of the limit that the answer reached. */
function receive(method = 'GET'): Promise<Buffer | string> {
  const { port } = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const request = httpRequest({ port, host: '127.0.0.1', agent, method });
    const reader = intake.open(request, (detail) => {
      request.destroy();
      resolve(detail);
    });
    request.on('error', reject);
    request.on('response', (response) => {
      reader.read(response);
      response.on('end', () => {
        if (limitsHit.length === 0) resolve(reader.take());
      });
    });
    request.end();
  });
}

for (const [what, bytes, bodyBytes] of [
  [
    'a body at its limit',
    `HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n${'x'.repeat(1_000_000)}`,
    1_000_000,
  ],
  ['a body in chunks of one byte', `${CHUNKED}${'1\r\nx\r\n'.repeat(2_500)}0\r\n\r\n`, 2_500],
  [
    'a body in chunks of 20 bytes',
    `${CHUNKED}${`14\r\n${'x'.repeat(20)}\r\n`.repeat(40_000)}0\r\n\r\n`,
    800_000,
  ],
  [
    'an answer behind interim answers',
    `${'HTTP/1.1 100 Continue\r\n\r\n'.repeat(300)}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok`,
    2,
  ],
  [
    'an answer behind blank lines',
    `${'\r\n'.repeat(10_000)}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok`,
    2,
  ],
] as const) {
  test(`${what} is received whole, also again over the same connection`, async () => {
    answer = (connection) => connection.write(bytes);
    for (let exchange = 0; exchange < 2; exchange += 1) {
      const body = await receive();
      assert.ok(Buffer.isBuffer(body), String(body));
      assert.equal(body.length, bodyBytes);
    }
    assert.deepEqual(limitsHit, []);
  });
}

test('the length of a body that is not sent may be beyond the limit', async () => {
  answer = (connection) => connection.write('HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n');
  assert.deepEqual(await receive('HEAD'), Buffer.alloc(0));
});

for (const [what, limit] of [
  ['a body in large chunks', 'answer-body'],
  ['a body in chunks of one byte', 'answer-overhead'],
  ['a body with a length', 'answer-body'],
  ['a body until the end of the connection', 'answer-body'],
  ['interim answers', 'answer-overhead'],
  ['blank lines', 'answer-overhead'],
] as const) {
  test(`${what} without end reaches the limit ${limit} and closes the connection`, async () => {
    const closed = new Promise((resolve) => {
      answer = (connection) => {
        connection.once('close', resolve);
        sendWithoutEnd(connection, ENDLESS_ANSWERS[what]!(''));
      };
    });
    assert.equal(typeof (await receive()), 'string');
    await closed;
    assert.deepEqual(limitsHit, [limit]);
  });
}

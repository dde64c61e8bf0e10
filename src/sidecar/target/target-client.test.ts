import assert from 'node:assert/strict';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { waitUntil } from '../../../test/stand-ins/mesh.js';
import { systemClock } from '../../kernel/clock.js';
import { TargetClient, type ExchangeEnd, type TargetRequest } from './target-client.js';
import { createAnswerIntake } from '../../../test/support/answer-intake.js';

const IDENTITY = 'x-id';

let target: Server;
let waiting: ServerResponse[];
let connections: number;
let client: TargetClient;

beforeEach(async () => {
  waiting = [];
  connections = 0;
  target = createServer((request, response) => {
    response.setHeader(IDENTITY, String(request.headers[IDENTITY]));
    waiting.push(response);
  });
  target.on('connection', (socket) => {
    connections += 1;
    socket.on('close', () => (connections -= 1));
  });
  await new Promise<void>((resolve) => target.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(target.address() as AddressInfo).port}`;
  client = new TargetClient({ address, identityField: IDENTITY, clock: systemClock, answers: createAnswerIntake() });
});

afterEach(() => {
  target.close();
  target.closeAllConnections();
});

function send(attemptId: string): Promise<ExchangeEnd> {
  const request: TargetRequest = {
    ...{ attemptId, method: 'GET', path: '/', body: new Uint8Array(0), timeoutMs: 5_000 },
    fields: ['Host', 'h', IDENTITY, attemptId],
  };
  return new Promise((resolve) => client.send(request, resolve));
}

test('a closed client closes its idle connections and lets running exchanges finish', async () => {
  const first = send('1');
  await waitUntil(() => waiting.length === 1);
  const second = send('2');
  await waitUntil(() => waiting.length === 2);
  waiting[0]!.end('one');
  assert.equal((await first).type, 'answer');
  client.close();
  await waitUntil(() => connections === 1);
  waiting[1]!.end('two');
  const end = await second;
  assert.equal(end.type, 'answer', JSON.stringify(end));
  await waitUntil(() => connections === 0);
});

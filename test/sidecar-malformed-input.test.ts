/**
 * Sends malformed input to whole nodes from all sides. An exception that reaches the event loop would end the
 * process of a node, and fails these tests.
 */
import assert from 'node:assert/strict';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { request as httpRequest } from 'node:http';
import { after, afterEach, before, test } from 'node:test';
import { serialize } from 'bson';
import fc from 'fast-check';
import { encodeMessage } from '../src/sidecar/link/link-codec.js';
import { Mesh, sendRequest, waitUntil, type Machine } from './stand-ins/mesh.js';

const RUNS = { seed: 20_260, numRuns: 150 };
/** Highest frame code and a few that do not exist. */
const FRAME_CODES = { min: 0, max: 24 };
const MEMBER_NAMES = [...'abcdefghiklmnopqrstuvwxyz'];

let mesh: Mesh;
let alpha: Machine;
let beta: Machine;
let attempts = 0;

before(async () => {
  mesh = new Mesh({ keyRevocation: '5s', refuseUncheckedKeys: true });
  await mesh.start();
  mesh.putRules(1, [
    { path: '/alpha/', service: 'alpha' },
    { path: '/beta/', service: 'beta' },
  ]);
  const options = { zone: 'z', slots: 40, workMs: 1 };
  alpha = await mesh.add({ ...options, service: 'alpha' });
  beta = await mesh.add({ ...options, service: 'beta' });
  await mesh.sendHeartbeats();
});
after(() => mesh.stop());

/** Every node still serves requests of both services. */
afterEach(async () => {
  alpha.target.behaviour = () => false;
  await mesh.sendHeartbeats();
  for (const machine of [alpha, beta]) {
    for (const path of ['/alpha/check', '/beta/check']) {
      await mesh.sendUntil(machine, { path }, ({ status }) => status === 200);
    }
  }
});

const bytes = fc.uint8Array({ maxLength: 40 }).map((value) => Buffer.from(value));
const scalar = fc.oneof(
  fc.integer(),
  fc.double(),
  fc.string(),
  fc.boolean(),
  fc.constant(null),
  fc.constantFrom(NaN, Infinity, -1, 2 ** 53, '', '__proto__', 'ready', 'leaving'),
);
const frame = fc
  .tuple(
    fc.integer(FRAME_CODES),
    fc.dictionary(
      fc.constantFrom(...MEMBER_NAMES),
      fc.oneof(scalar, bytes, fc.array(scalar), fc.dictionary(fc.string(), scalar)),
    ),
  )
  .map(([t, members]) => serialize({ ...members, t }, { ignoreUndefined: true }));

function post(machine: Machine, path: string, body: Buffer | string): Promise<void> {
  const [host = '', port = '0'] = machine.registration.split(':');
  return new Promise((resolve) => {
    const request = httpRequest({ host, port, path, method: 'POST', agent: false }, (response) => {
      response.resume();
      response.on('close', resolve);
    });
    request.on('error', () => {
      resolve();
    });
    request.end(body);
  });
}

test('answers of a target with malformed heads', async () => {
  const text = fc.oneof(
    fc.constantFrom('', '0', '200', '101', '100', '-1', '1e3', '99999999999', 'chunked', 'x, y'),
    fc.uint8Array({ maxLength: 12 }).map((value) => Buffer.from(value).toString('latin1')),
  );
  const name = fc.oneof(
    fc.constantFrom('Content-Length', 'Transfer-Encoding', 'Connection', 'Upgrade', 'Keep-Alive'),
    fc.constantFrom('Server-Limit', 'X-Instance-Load', 'X-Not-Executed', 'Retry-After', 'Trailer'),
    text,
  );
  const status = fc.integer({ min: 0, max: 999 }).map((value) => String(value).padStart(3, '0'));
  const head = fc.tuple(fc.oneof(status, text), text, fc.array(fc.tuple(name, text)));
  await fc.assert(
    fc.asyncProperty(head, async ([code, reason, fields]) => {
      alpha.target.behaviour = ({ attemptId }, { socket }) => {
        const lines = fields.map(([field, value]) => `${field}: ${value}\r\n`).join('');
        const known = `X-Attempt-Id: ${attemptId}\r\nContent-Length: 2\r\n`;
        socket?.write(`HTTP/1.1 ${code} ${reason}\r\n${known}${lines}\r\nok`, 'latin1');
        return true;
      };
      attempts += 1;
      const request = { path: '/alpha/odd', attemptId: `odd-${attempts}`, deadlineMs: 150 };
      const answer = await sendRequest(beta.entry, request);
      assert.ok(answer.status >= 200 && answer.status <= 599, String(answer.status));
    }),
    RUNS,
  );
});

test('reports of a target', async () => {
  const document = fc.record(
    {
      address: scalar,
      born: scalar,
      information: fc.oneof(
        scalar,
        fc.record({ service: scalar, version: scalar, zone: scalar, slots: scalar }),
      ),
      status: fc.oneof(
        scalar,
        fc.record({ state: scalar, callCount: scalar, coldRemaining: scalar }),
      ),
    },
    { requiredKeys: [] },
  );
  const body = fc.oneof(
    bytes,
    document.map((value) => JSON.stringify(value)),
  );
  const id = fc.oneof(fc.constantFrom('i-1', '%', '%ff', '%0a', 'a%20b'), fc.webFragments());
  await fc.assert(
    fc.asyncProperty(id, fc.constantFrom('heartbeat', 'deregister'), body, (target, call, report) =>
      // A target that really leaves would end the test.
      call === 'deregister' && target === 'i-1'
        ? Promise.resolve()
        : post(alpha, `/v1/instances/${target}/${call}`, report),
    ),
    RUNS,
  );
});

test('items of the store that other writers have written', async () => {
  const record = fc.dictionary(
    fc.constantFrom('node', 'address', 'zone', 'service', 'targetId', 'target', 'storeEra'),
    fc.oneof(scalar, fc.constantFrom('127.0.0.1:1', '127.0.0.1:99999', '1:2', 'x')),
  );
  const value = fc.oneof(
    bytes.map((content) => content.toString('latin1')),
    record.map((content) => JSON.stringify(content)),
  );
  const key = fc.constantFrom(
    ...['sillshore/nodes/', 'sillshore/nodes/other', 'sillshore/nodes/node-1'],
    ...['sillshore/quota/0', 'op/config', 'servers/x'],
  );
  await fc.assert(
    fc.asyncProperty(key, value, async (name, content) => {
      mesh.store.put(name, content);
      await new Promise((resolve) => setImmediate(resolve));
    }),
    RUNS,
  );
});

test('frames from a node that connects', async () => {
  const socketsDone: Promise<void>[] = [];
  await fc.assert(
    fc.asyncProperty(fc.array(frame, { minLength: 1, maxLength: 3 }), async (frames) => {
      const socket = connect(alpha.linkPort, '127.0.0.1');
      socket.on('error', () => {});
      socketsDone.push(new Promise((resolve) => socket.on('close', () => resolve())));
      socket.write(Buffer.concat(frames));
      await new Promise((resolve) => socket.once('data', resolve));
      socket.end();
    }),
    RUNS,
  );
  await Promise.all(socketsDone);
});

test('frames from a node that was connected to', async () => {
  const accepted: Socket[] = [];
  const status = { node: 'odd', service: 'gamma', target: 'ready', rulesVersion: 1 } as const;
  const queue = fc.sample(frame, RUNS);
  const server: Server = createServer((socket) => {
    accepted.push(socket);
    socket.on('error', () => {});
    socket.write(encodeMessage({ type: 'hello', status, clock: 1 }));
    socket.on('data', () => {
      const next = queue.pop();
      if (next !== undefined) socket.write(next);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  assert.ok(typeof address === 'object' && address !== null);
  const record = {
    ...{ node: 'odd', address: `127.0.0.1:${address.port}`, zone: 'z', region: 'r' },
    ...{ service: 'gamma', targetId: 'i', target: 'ready', targetSlots: 1 },
  };
  mesh.putRules(2, [
    { path: '/alpha/', service: 'alpha' },
    { path: '/beta/', service: 'beta' },
    { path: '/gamma/', service: 'gamma' },
  ]);
  mesh.store.put('sillshore/nodes/odd', JSON.stringify(record));
  await waitUntil(async () => {
    await mesh.send(alpha, { path: '/gamma/x', deadlineMs: 40 });
    return queue.length < RUNS.numRuns / 2;
  });
  server.close();
  for (const socket of accepted) socket.destroy();
});

/** Leaving targets and planned stops: no new work for leaving targets, no request cut off. */
import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { afterEach, beforeEach, test } from 'node:test';
import { ResultCode } from '../core/result-code.js';
import { Token } from '../kernel/token.js';
import { REFRESH_INTERVAL_MS } from '../target/target-plugin.js';
import { DataPathFleet, type DataPathNode } from '../../test/support/data-path-node.js';
import { send, type TestAnswer } from '../../test/support/raw-http.js';
import {
  answerPlain,
  startScriptedBackend,
  type ScriptedBackend,
} from '../../test/support/scripted-backend.js';

let fleet: DataPathFleet;
let first: ScriptedBackend;
let second: ScriptedBackend;
let near: DataPathNode;
let far: DataPathNode;

beforeEach(async () => {
  fleet = new DataPathFleet();
  first = await startScriptedBackend();
  second = await startScriptedBackend();
  const target = (id: string, { port }: ScriptedBackend) => {
    return { id, zone: 'zone-a', address: `127.0.0.1:${port}` };
  };
  const kind = { criticality: 'normal', match: { pathPrefix: '/' }, attempts: 3, idempotent: true };
  fleet.apply({
    apiVersion: 'sillshore/v1',
    tenant: 'test',
    services: [
      {
        name: 'guide',
        hosts: ['guide'],
        calls: ['guide'],
        slots: 2,
        connections: 4,
        targets: [target('guide-1', first), target('guide-2', second)],
        kinds: [{ ...kind, name: 'read', deadlineMs: 5_000 }],
      },
    ],
  });
  near = await fleet.start('node-a', ['guide-1']);
  far = await fleet.start('node-b', ['guide-2']);
});

afterEach(async () => {
  await fleet.stop();
  await first.close();
  await second.close();
});

/** Waits until the near node refuses requests of callers. */
async function waitForRefusal(): Promise<void> {
  while ((await send({ port: near.entryPort, path: '/new' })).status === 200) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

const DRAINING = 'Backend-State: draining\r\n';

test('an answer that says draining stops new work for its target at once, on all nodes', async () => {
  first.setScript(({ socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\n${DRAINING}Content-Length: 2\r\n\r\nok`);
  });
  assert.equal((await send({ port: far.entryPort, path: '/last' })).body, 'ok');
  for (const { entryPort: port } of [near, far, near, far]) {
    assert.equal((await send({ port, path: '/next' })).body, '/next');
  }
  assert.deepEqual(first.seen, ['/last']);
  assert.deepEqual(near.container.get(Token.Membership).self().leavingTargets, ['guide-1']);
});

test('a target that the list of machines shows as leaving gets no new work from any node', async () => {
  // The node that reads the list is not the one that fronts the target.
  const leaving = far.container.get(Token.LeavingTargets);
  leaving.set('machine-list', ['guide-1']);
  await new Promise((resolve) => setTimeout(resolve, 2 * REFRESH_INTERVAL_MS));
  for (const { entryPort: port } of [near, far]) {
    assert.equal((await send({ port, path: '/x' })).body, '/x');
  }
  assert.deepEqual(first.seen, []);
  leaving.set('machine-list', []);
  assert.deepEqual(far.container.get(Token.Membership).self().leavingTargets, []);
});

test('a request refused as draining is retried elsewhere, and waiting requests go elsewhere too', async () => {
  const held: (() => void)[] = [];
  first.setScript(({ socket }) => {
    held.push(() => socket.write(`HTTP/1.1 503 No\r\n${DRAINING}Content-Length: 0\r\n\r\n`));
    if (held.length === 2) setTimeout(() => held.forEach((release) => release()), 20);
  });
  const paths = ['/1', '/2', '/3', '/4'];
  const answers = await Promise.all(paths.map((path) => send({ port: near.entryPort, path })));
  assert.deepEqual(
    answers.map(({ body }) => body),
    paths,
  );
  assert.equal(first.seen.length, 2);
});

test('a planned stop under load cuts off no request, keep-alive connections included', async () => {
  const slow = (backend: ScriptedBackend): void => {
    backend.setScript((request) => setTimeout(() => answerPlain(request), 30));
  };
  slow(first);
  slow(second);
  const agents = [near, far].map(() => new Agent({ keepAlive: true, maxSockets: 4 }));
  const ports = [near.entryPort, far.entryPort];
  let stopped = false;
  const answers: TestAnswer[] = [];
  const errors: unknown[] = [];
  const caller = async (name: string): Promise<void> => {
    for (let count = 0; !stopped; count += 1) {
      const path = `/${name}-${count}`;
      // The near node is being stopped: callers leave it once an answer closes a connection.
      const index = answers.some(({ headers }) => headers.connection === 'close') ? 1 : 0;
      const port = ports[index] ?? 0;
      const agent = agents[index] ?? new Agent();
      try {
        const answer = await send({ port, path, agent });
        answers.push(answer);
        assert.equal(answer.body, path);
      } catch (error) {
        errors.push(error);
      }
    }
  };
  const callers = ['a', 'b', 'c', 'd'].map((name) => caller(name));
  const direct = send({ port: near.entryPort, path: '/running' });
  await near.kernel.drainAndStop();
  stopped = true;
  await Promise.all(callers);
  assert.deepEqual(errors, []);
  assert.equal((await direct).body, '/running');
  assert.ok(answers.length > 8);
  for (const agent of agents) agent.destroy();
});

test('a stopping node refuses requests as not run, and new connections once nothing runs', async () => {
  let release: () => void = () => undefined;
  first.setScript((request) => {
    if (request.path !== '/running') answerPlain(request);
    else
      release = () => {
        answerPlain(request);
      };
  });
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  assert.equal((await send({ port: near.entryPort, path: '/before', agent })).status, 200);
  const running = send({ port: near.entryPort, path: '/running' });
  await new Promise((resolve) => setTimeout(resolve, 50));
  const stopping = near.kernel.drainAndStop();
  await waitForRefusal();
  const onOpen = await send({ port: near.entryPort, path: '/open', agent });
  const onNew = await send({ port: near.entryPort, path: '/new' });
  for (const refused of [onOpen, onNew]) {
    assert.equal(refused.status, 503);
    assert.equal(refused.headers['sillshore-result'], String(ResultCode.NodeDraining));
    assert.equal(refused.headers['sillshore-execution'], 'not-run');
    assert.equal(refused.headers['retry-after'], '1');
    assert.equal(refused.headers.connection, 'close');
  }
  agent.destroy();
  release();
  assert.equal((await running).body, '/running');
  await stopping;
  await assert.rejects(send({ port: near.entryPort, path: '/late' }), { code: 'ECONNREFUSED' });
});

test('a stopping node serves the calls of back ends whose attempts still run', async () => {
  const context = /\r\nbaggage: (.*)/i;
  first.setScript((request) => {
    if (request.path !== '/outer') {
      answerPlain(request);
      return;
    }
    const headers = { baggage: context.exec(request.head)?.[1] ?? '' };
    const call = async (): Promise<void> => {
      await waitForRefusal();
      const inner = await send({ port: near.entryPort, path: '/inner', headers });
      answerPlain({ ...request, path: `${inner.status} ${inner.body}` });
    };
    void call();
  });
  const outer = send({ port: near.entryPort, path: '/outer' });
  await new Promise((resolve) => setTimeout(resolve, 50));
  await near.kernel.drainAndStop();
  assert.equal((await outer).body, '200 /inner');
});

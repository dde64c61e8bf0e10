/** Calls by back ends: one bound on attempts, one deadline, one criticality for the whole chain. */
import assert from 'node:assert/strict';
import { after, before, beforeEach, test } from 'node:test';
import { ResultCode } from '../core/result-code.js';
import { DataPathFleet, type DataPathNode } from '../../test/support/data-path-node.js';
import { send, type TestAnswer } from '../../test/support/raw-http.js';
import {
  answerPlain,
  startScriptedBackend,
  type RawRequest,
  type ScriptedBackend,
} from '../../test/support/scripted-backend.js';

const BOUND = 6;

const fleet = new DataPathFleet();
let guide: ScriptedBackend;
let ledger: ScriptedBackend;
let near: DataPathNode;
let far: DataPathNode;

before(async () => {
  guide = await startScriptedBackend();
  ledger = await startScriptedBackend();
  const kind = { criticality: 'high', idempotent: true, match: { pathPrefix: '/' } };
  const shape = { slots: 20, connections: 20 };
  const targets = (name: string, port: number) =>
    ['1', '2'].map((suffix) => ({
      id: `${name}-${suffix}`,
      zone: 'zone-a',
      address: `127.0.0.1:${port}`,
    }));
  fleet.apply({
    apiVersion: 'sillshore/v1',
    tenant: 'test',
    services: [
      {
        ...shape,
        name: 'guide',
        hosts: ['guide'],
        calls: ['ledger'],
        targets: targets('guide', guide.port),
        kinds: [{ ...kind, name: 'step', attempts: BOUND, deadlineMs: 800 }],
      },
      {
        ...shape,
        name: 'ledger',
        hosts: ['ledger'],
        entry: 'internal',
        targets: targets('ledger', ledger.port),
        kinds: [{ ...kind, name: 'entry', attempts: 4, deadlineMs: 5_000 }],
      },
    ],
  });
  near = await fleet.start('node-a', ['guide-1', 'guide-2', 'ledger-1']);
  far = await fleet.start('node-b', ['ledger-2']);
});

beforeEach(() => {
  guide.setScript(answerPlain);
  ledger.setScript(answerPlain);
});

after(async () => {
  await fleet.stop();
  await guide.close();
  await ledger.close();
});

function baggageOf({ head }: RawRequest): string {
  return /\r\nbaggage: (.*)/i.exec(head)?.[1] ?? '';
}

/** Sends the next call of the chain to the given node. */
function callLedger(
  request: RawRequest,
  node: DataPathNode,
  keepsContext = true,
): Promise<TestAnswer> {
  const headers = keepsContext ? { baggage: baggageOf(request) } : {};
  return send({ port: node.entryPort, host: 'ledger', path: '/entry', headers });
}

function answer(request: RawRequest, text: string): void {
  request.socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`);
}

function fail(request: RawRequest): void {
  request.socket.resetAndDestroy();
}

test('a call below an attempt works through the node that holds its ledger, and through another', async () => {
  for (const node of [near, far]) {
    guide.setScript((request) => {
      void callLedger(request, node).then(({ body }) => {
        answer(request, `below: ${body}`);
      });
    });
    const result = await send({ port: near.entryPort, path: '/step' });
    assert.equal(result.body, 'below: /entry');
    const [outer, inner] = [guide.heads.at(-1) ?? '', ledger.heads.at(-1) ?? ''];
    const leftOf = (head: string): number => Number(/sillshore-deadline=(\d+)/.exec(head)?.[1]);
    assert.ok(leftOf(inner) <= leftOf(outer));
    const requestOf = (head: string): string | undefined =>
      /sillshore-request=([^,\r]+)/.exec(head)?.[1];
    assert.equal(requestOf(inner), requestOf(outer));
  }
});

test('all layers retry against a dead service: attempts stay within the bound', async () => {
  for (const node of [near, far]) {
    const [guideBefore, ledgerBefore] = [guide.seen.length, ledger.seen.length];
    ledger.setScript(fail);
    guide.setScript((request) => {
      const retryThenFail = async (): Promise<void> => {
        for (let count = 0; count < 5; count += 1) await callLedger(request, node);
        fail(request);
      };
      void retryThenFail();
    });
    const result = await send({ port: near.entryPort, path: '/step' });
    assert.notEqual(result.status, 200);
    const attempts = guide.seen.length - guideBefore + ledger.seen.length - ledgerBefore;
    assert.ok(attempts <= BOUND, `${attempts} attempts`);
    assert.ok(guide.seen.length - guideBefore >= 2, 'a lost answer must not end the retries');
  }
});

test('a back end that drops the context field is refused, not run', async () => {
  const seenBefore = ledger.seen.length;
  let code: unknown;
  guide.setScript((request) => {
    void callLedger(request, near, false).then(({ headers }) => {
      code = headers['sillshore-result'];
      answer(request, 'done');
    });
  });
  await send({ port: near.entryPort, path: '/step' });
  assert.equal(code, String(ResultCode.CallContextRequired));
  assert.equal(ledger.seen.length, seenBefore);
});

test('a call below an attempt that has ended is refused, not run', async () => {
  for (const node of [near, far]) {
    const seenBefore = ledger.seen.length;
    let kept: RawRequest | undefined;
    guide.setScript((request) => {
      kept = request;
      answer(request, 'done');
    });
    await send({ port: near.entryPort, path: '/step' });
    assert.ok(kept !== undefined);
    const late = await callLedger(kept, node);
    assert.equal(late.headers['sillshore-result'], String(ResultCode.CallContextRequired));
    assert.equal(ledger.seen.length, seenBefore);
  }
});

test('a lost reply between nodes counts all granted attempts as spent', async () => {
  near.peers.lossy.add('node-b');
  far.peers.lossy.add('node-a');
  const before = guide.seen.length;
  const result = await send({ port: far.entryPort, path: '/step' });
  near.peers.lossy.clear();
  far.peers.lossy.clear();
  assert.equal(result.headers['sillshore-execution'], 'unknown');
  assert.ok(guide.seen.length - before <= BOUND);
  assert.ok(guide.seen.length - before >= 2);
});

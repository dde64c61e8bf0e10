import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { test } from 'node:test';
import { exchange, type ExchangeResult } from '../http-exchange.js';
import { digestRequest } from '../request-digest.js';
import type { BackendControl } from './backend-faults.js';
import { BACKEND_DEFAULTS, type BackendOptions } from './backend-options.js';
import { startBackend, type Backend } from './start-backend.js';

const options: BackendOptions = {
  ...BACKEND_DEFAULTS,
  listen: '127.0.0.1:0',
  service: 'guide',
  target: 'guide-1',
  slots: 1,
  serviceMs: 1,
  sigma: 0,
  connectionCostMs: 0,
};
const LONG_MS = 60_000;

async function withBackend(
  changes: Partial<BackendOptions>,
  use: (backend: Backend, send: Send) => Promise<void>,
): Promise<void> {
  const agent = new Agent({ keepAlive: true });
  const backend = await startBackend({ ...options, ...changes });
  const send: Send = (path, extra = {}, method = 'GET') =>
    exchange({
      base: `http://${backend.address}`,
      method,
      path,
      headers: { baggage: 'caller-request=r1', ...extra.headers },
      body: Buffer.alloc(0),
      agent,
      timeoutMs: extra.timeoutMs ?? 5_000,
      signal: extra.signal,
    });
  try {
    await use(backend, send);
  } finally {
    agent.destroy();
    await backend.stop();
  }
}

interface Extra {
  readonly headers?: Record<string, string>;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}
type Send = (path: string, extra?: Extra, method?: string) => Promise<ExchangeResult>;

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
}

test('an answer carries the digest of its request and takes effect once', async () => {
  await withBackend({}, async (backend, send) => {
    const result = await send('/steps?request=1');
    assert.equal(result.type, 'answer');
    const document = JSON.parse(result.type === 'answer' ? result.body.toString() : '') as object;
    assert.deepEqual(
      { ...document, filler: undefined },
      {
        request: 'r1',
        service: 'guide',
        target: 'guide-1',
        digest: digestRequest('GET', '/steps?request=1', Buffer.alloc(0)),
        filler: undefined,
      },
    );
    const [entry] = backend.journal.snapshot().entries;
    assert.equal(entry?.received, 1);
    assert.equal(entry.effectAt.length, 1);
  });
});

const faultCases: readonly {
  readonly name: string;
  readonly fault: BackendControl;
  readonly ends: ExchangeResult['type'];
  readonly status?: number;
  readonly state?: string;
  readonly effects: number;
}[] = [
  {
    name: 'shed',
    fault: { shed: true },
    ends: 'answer',
    status: 503,
    state: 'overloaded',
    effects: 0,
  },
  {
    name: 'drain with refusals',
    fault: { drain: true, refuseAfterMs: 0 },
    ends: 'answer',
    status: 503,
    state: 'draining',
    effects: 0,
  },
  {
    name: 'drain that still serves',
    fault: { drain: true, refuseAfterMs: LONG_MS },
    ends: 'answer',
    status: 200,
    state: 'draining',
    effects: 1,
  },
  { name: 'reset during an answer', fault: { dieMidAnswer: true }, ends: 'cut', effects: 1 },
  { name: 'truncated answer', fault: { truncate: true }, ends: 'cut', effects: 1 },
];

for (const { name, fault, ends, status, state, effects } of faultCases) {
  test(`fault: ${name}`, async () => {
    await withBackend({}, async (backend, send) => {
      backend.control(fault);
      const result = await send('/steps');
      assert.equal(result.type, ends);
      if (result.type === 'answer') {
        assert.equal(result.status, status);
        assert.equal(result.headers['backend-state'], state);
      }
      assert.equal(backend.journal.snapshot().entries[0]?.effectAt.length, effects);
    });
  });
}

test('healthOverride replaces the reported state', async () => {
  await withBackend({}, async (backend, send) => {
    backend.control({ drain: true, healthOverride: 'serving', loadOverride: 0 });
    const health = await send('/health');
    assert.equal(health.type === 'answer' && health.body.toString(), '{"state":"serving"}');
    backend.control({ healthOverride: null });
    const truth = await send('/health');
    assert.equal(truth.type === 'answer' && truth.body.toString(), '{"state":"draining"}');
  });
});

test('a request whose client disconnects frees its slot and takes no effect', async () => {
  await withBackend({ serviceMs: LONG_MS }, async (backend, send) => {
    const abort = new AbortController();
    const first = send('/steps', { signal: abort.signal });
    await until(() => backend.journal.snapshot().entries[0]?.begunAt.length === 1);
    abort.abort();
    assert.equal((await first).type, 'cut');
    await until(() => backend.journal.snapshot().entries[0]?.cancelled === 1);
    backend.control({ slowFactor: 1 / LONG_MS });
    assert.equal((await send('/steps')).type, 'answer');
    assert.equal(backend.journal.snapshot().entries[0]?.effectAt.length, 1);
  });
});

test('a request whose deadline passes in the queue is not run', async () => {
  await withBackend({ serviceMs: 20 }, async (backend, send) => {
    const first = send('/steps');
    await until(() => backend.journal.snapshot().entries[0]?.begunAt.length === 1);
    const headers = { baggage: 'caller-request=r2,sillshore-deadline=1' };
    const second = await send('/steps', { headers });
    assert.equal(second.type === 'answer' && second.status, 503);
    await first;
    const entry = backend.journal.snapshot().entries.find(({ request }) => request === 'r2');
    assert.deepEqual([entry?.begunAt.length, entry?.refused], [0, 1]);
  });
});

test('a downstream call carries the baggage and is retried with the fault ownRetries', async () => {
  await withBackend({ service: 'deep', target: 'deep-1' }, async (deep) => {
    const call = {
      on: {},
      service: 'deep',
      host: 'deep.example',
      nodes: [`http://${deep.address}`],
      method: 'POST',
      path: '/entries',
    };
    await withBackend({ calls: [call] }, async (backend, send) => {
      const headers = { baggage: 'caller-request=r1,sillshore-request=s1' };
      assert.equal((await send('/steps', { headers })).type, 'answer');
      deep.control({ shed: true });
      backend.control({ ownRetries: 2 });
      const failed = await send('/steps', { headers });
      assert.equal(failed.type === 'answer' && failed.status, 503);
      const [entry] = deep.journal.snapshot().entries;
      assert.deepEqual([entry?.request, entry?.received, entry?.refused], ['r1', 4, 3]);
    });
  });
});

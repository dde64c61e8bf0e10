/** Contract of PlatformClient, tested against the platform stand-in: one row per fault. */
import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, beforeEach, test } from 'node:test';
import { ResultCode } from '../core/result-code.js';
import { silentEventLog } from '../kernel/event.js';
import { systemClock } from '../kernel/clock.js';
import type { ControlRequest } from '../stand-ins/platform/faults.js';
import {
  startPlatformStandIn,
  type PlatformStandIn,
} from '../stand-ins/platform/platform-stand-in.js';
import { EtcdPlatformClient } from './etcd-platform-client.js';
import type { WatchEvent } from './platform-client.js';

const host = '127.0.0.1';
/** Time limit for exchanges that should time out. */
const SHORT_TIMEOUT_MS = 250;
/** Time limit for the others: long, so that a busy machine does not look like a fault. */
const LONG_TIMEOUT_MS = 10_000;
const NO_FAULTS: ControlRequest = {
  outage: 'none',
  machinesOutage: 'none',
  delayMs: 0,
  requestsPerSecond: 0,
  loseNextAnswers: 0,
  loseEveryNthAnswer: 0,
  lostAnswer: 'reset',
  garbageNextAnswers: 0,
  truncateNextEvents: 0,
  machineListLagMs: 0,
};

let standIn: PlatformStandIn;
let key = 0;

before(async () => {
  standIn = await startPlatformStandIn({ host, port: 0, seed: 1 });
});
after(() => standIn.close());
beforeEach(async () => {
  key += 1;
  await standIn.control(NO_FAULTS);
});

function createClient(...endpoints: string[]): EtcdPlatformClient {
  return createClientWithin(LONG_TIMEOUT_MS, ...endpoints);
}

function createClientWithin(timeoutMs: number, ...endpoints: string[]): EtcdPlatformClient {
  const url = `http://${host}:${standIn.port}`;
  return new EtcdPlatformClient({
    endpoints: endpoints.length > 0 ? endpoints : [url],
    machinesUrl: `${url}/machines`,
    timeoutMs,
    clock: systemClock,
    log: silentEventLog,
    seed: 1,
  });
}

function standInUrl(): string {
  return `http://${host}:${standIn.port}`;
}

function storedKeys(): number {
  return standIn.store.range({ key: `/test/${key}` }).count;
}

const { WriteOutcomeUnknown, PlatformUnavailable, PlatformRateLimited } = ResultCode;

interface FaultCase {
  readonly fault: string;
  readonly control: ControlRequest;
  readonly write: ResultCode | 'ok';
  /** Keys in the store after the write; absent where a late effect is possible. */
  readonly stored?: number;
  readonly read: ResultCode | 'ok';
  /** Whether the write times out. */
  readonly timesOut?: boolean;
}

const faultCases: readonly FaultCase[] = [
  { fault: 'none', control: {}, write: 'ok', stored: 1, read: 'ok' },
  {
    fault: 'answer lost after the effect, connection reset',
    control: { loseNextAnswers: 1 },
    write: WriteOutcomeUnknown,
    stored: 1,
    read: 'ok',
  },
  {
    fault: 'answer lost after the effect, no answer',
    control: { loseNextAnswers: 1, lostAnswer: 'hang' },
    timesOut: true,
    write: WriteOutcomeUnknown,
    stored: 1,
    read: 'ok',
  },
  {
    fault: 'answer cut in the middle',
    control: { loseNextAnswers: 1, lostAnswer: 'truncate' },
    write: WriteOutcomeUnknown,
    stored: 1,
    read: 'ok',
  },
  {
    fault: 'answer is not JSON',
    control: { garbageNextAnswers: 1 },
    write: WriteOutcomeUnknown,
    stored: 1,
    read: 'ok',
  },
  {
    fault: 'outage, connections refused',
    control: { outage: 'refuse' },
    write: PlatformUnavailable,
    stored: 0,
    read: PlatformUnavailable,
  },
  {
    fault: 'outage, connections reset',
    control: { outage: 'reset' },
    write: WriteOutcomeUnknown,
    stored: 0,
    read: PlatformUnavailable,
  },
  {
    fault: 'outage, no answers',
    control: { outage: 'hang' },
    timesOut: true,
    write: WriteOutcomeUnknown,
    stored: 0,
    read: PlatformUnavailable,
  },
  {
    fault: 'slower than the time limit',
    control: { delayMs: 2 * SHORT_TIMEOUT_MS },
    timesOut: true,
    write: WriteOutcomeUnknown,
    read: PlatformUnavailable,
  },
];

for (const { fault, control, write, stored, read, timesOut } of faultCases) {
  test(`platform fault: ${fault}`, async () => {
    const writer = createClientWithin(timesOut === true ? SHORT_TIMEOUT_MS : LONG_TIMEOUT_MS);
    const reader = createClientWithin(read === 'ok' ? LONG_TIMEOUT_MS : SHORT_TIMEOUT_MS);
    await standIn.control(control);
    const name = `/test/${key}`;
    const written = await writer.transact(
      [{ key: name, modRevision: 0 }],
      [{ key: name, value: 'ä' }],
    );
    assert.equal(written.isOk ? 'ok' : written.error.code, write);
    if (stored !== undefined) assert.equal(storedKeys(), stored);
    const found = await reader.range('/test/');
    assert.equal(found.isOk ? 'ok' : found.error.code, read);
    assert.equal(reader.available, read === 'ok');
    if (!found.isOk || stored !== 1) return;
    const value = found.value.values.find((candidate) => candidate.key === name);
    assert.equal(value?.value, 'ä');
    assert.equal(value.modRevision, value.createRevision);
  });
}

test('a request over the rate limit has no effect, and the client then pauses', async () => {
  const client = createClient();
  await standIn.control({ requestsPerSecond: 1 });
  await client.range('/test/');
  const put = { key: `/test/${key}`, value: 'x' };
  const refused = await client.transact([], [put]);
  assert.ok(refused.isErr);
  assert.equal(refused.error.code, PlatformRateLimited);
  assert.ok(refused.error.retryAfterMs! >= 100);
  assert.equal(storedKeys(), 0);
});

test('a compare that does not hold writes nothing', async () => {
  const client = createClient();
  const name = `/test/${key}`;
  const compares = [{ key: name, modRevision: 99_999 }];
  const result = await client.transact(compares, [{ key: name, value: 'x' }]);
  assert.ok(result.isOk);
  assert.equal(result.value.succeeded, false);
  assert.equal(storedKeys(), 0);
});

test('a write goes on to the next endpoint when the first refuses the connection', async () => {
  const closed = await startPlatformStandIn({ host, port: 0, seed: 1 });
  await closed.close();
  const client = createClient(`http://${host}:${closed.port}`, standInUrl());
  const written = await client.transact([], [{ key: `/test/${key}`, value: 'x' }]);
  assert.ok(written.isOk);
  assert.equal(storedKeys(), 1);
});

test('a write stops at an endpoint that may have carried it out; a read goes on', async () => {
  const resetting = await startPlatformStandIn({
    host,
    port: 0,
    seed: 1,
    faults: { outage: 'reset' },
  });
  const url = `http://${host}:${resetting.port}`;
  const written = await createClient(url, standInUrl()).transact(
    [],
    [{ key: `/test/${key}`, value: 'x' }],
  );
  assert.ok(written.isErr);
  assert.equal(written.error.code, WriteOutcomeUnknown);
  assert.equal(storedKeys(), 0);
  const read = await createClient(url, standInUrl()).range('/test/');
  assert.ok(read.isOk);
  await resetting.close();
});

/** Answers that a broken proxy could send. */
const strangeAnswers: readonly (readonly [number, string])[] = [
  [200, '[]'],
  [200, '{}'],
  [200, 'null'],
  [200, '{"header":{"revision":5}}'],
  [200, '{"header":{"revision":"-5"}}'],
  [200, '{"header":{"revision":"5"},"kvs":[{"key":"*"}]}'],
  [302, ''],
  [500, '{"code":14,"message":"unavailable"}'],
  [503, 'upstream failure'],
];

test('an answer of unexpected form is a failure, never a result', async () => {
  let answer: readonly [number, string] = [200, ''];
  const server: Server = createServer((_request, response) => {
    response.writeHead(answer[0], { location: '/elsewhere' }).end(answer[1]);
  });
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const url = `http://${host}:${(server.address() as AddressInfo).port}`;
  const client = createClient(url);
  for (answer of strangeAnswers) {
    const read = await client.range('/test/');
    assert.equal(read.isErr && read.error.code, PlatformUnavailable, answer[1]);
    if (answer[1] === '{"header":{"revision":"5"},"kvs":[{"key":"*"}]}') continue;
    const written = await client.transact([], []);
    assert.equal(written.isErr && written.error.code, WriteOutcomeUnknown, answer[1]);
  }
  server.close();
  server.closeAllConnections();
});

test('the list of machines shows a change only after its lag', async () => {
  const client = createClient();
  const machine = {
    id: 'n1',
    role: 'node',
    state: 'live',
    address: '127.0.0.1:1',
    zone: 'a',
  } as const;
  await standIn.control({ machines: [machine] });
  assert.deepEqual((await client.machines()).unwrapOr([]), [machine]);
  await standIn.control({ machineListLagMs: 60_000, machines: [] });
  assert.deepEqual((await client.machines()).unwrapOr([]), []);
  await standIn.control({ machinesOutage: 'hang' });
  const failed = await createClientWithin(SHORT_TIMEOUT_MS).machines();
  assert.equal(failed.isErr && failed.error.code, PlatformUnavailable);
});

/** Collects the events of a watch until one is `lost`. */
function collectUntilLost(client: EtcdPlatformClient, from: number): Promise<WatchEvent[]> {
  return new Promise((resolve) => {
    const events: WatchEvent[] = [];
    client.watch('/test/', from, (event) => {
      events.push(event);
      if (event.type === 'lost') resolve(events);
    });
  });
}

async function put(value: string): Promise<number> {
  const result = await createClient().transact([], [{ key: `/test/${key}`, value }]);
  assert.ok(result.isOk);
  return result.value.revision;
}

function valuesOf(events: readonly WatchEvent[]): string[] {
  return events.flatMap((event) => (event.type === 'put' ? [event.keyValue.value] : []));
}

test('a watch delivers earlier and later changes in order, then its loss', async () => {
  const first = await put('1');
  await put('2');
  const collected = collectUntilLost(createClient(), first);
  await put('3');
  while (standIn.watchCount === 0) await new Promise((resolve) => setImmediate(resolve));
  await standIn.control({ cutWatches: true });
  const events = await collected;
  assert.deepEqual(valuesOf(events), ['1', '2', '3']);
});

const watchFaults: readonly (readonly [string, ControlRequest])[] = [
  ['history compacted', { compact: true }],
  ['line cut in the middle', { truncateNextEvents: 1 }],
  ['connections refused', { outage: 'refuse' }],
  ['connections reset', { outage: 'reset' }],
  ['no answer', { outage: 'hang' }],
];

for (const [fault, control] of watchFaults) {
  test(`a watch ends with one lost event: ${fault}`, async () => {
    const revision = await put('1');
    await standIn.control(control);
    const client = createClientWithin(SHORT_TIMEOUT_MS);
    const events = await collectUntilLost(client, revision);
    assert.deepEqual(
      events.map(({ type }) => type),
      ['lost'],
    );
  });
}

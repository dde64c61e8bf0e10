/** Tests whole nodes against stand-ins: limits of tenants, counted over all nodes. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { ResultCode } from '../src/core/result-code.js';
import type { RouteOptions, TenantOptions } from '../platform/stand-ins/rules-document.js';
import { groupOfTenant, orderCandidates } from '../src/sidecar/quota/quota-groups.js';
import { QUOTA_KEY_PREFIX } from '../src/sidecar/quota/quota-lease.js';
import { Mesh, waitUntil, type CallerAnswer, type Machine } from './stand-ins/mesh.js';

const WINDOW_MS = 1_000;
const OVERSHOOT = 0.1;
const SLACK = 5;
const ROUTES: readonly RouteOptions[] = [{ path: '/read/', service: 'ledger' }];
const LARGE = { ratePerSecond: 100, burst: 100 };
const SMALL = { ratePerSecond: 20, burst: 20 };
const TENANTS: readonly TenantOptions[] = [
  { name: 'large', keys: ['large-1'], ...LARGE },
  { name: 'small', keys: ['small-1'], ...SMALL },
  { name: 'unlimited', keys: ['unlimited-1'] },
];

let mesh: Mesh;
let callers: readonly Machine[];
let ledger: Machine;
/** When requests of tenants reached the target, in milliseconds. */
let arrivals: Map<string, number[]>;

beforeEach(async () => {
  arrivals = new Map();
  const quota = { quotaWindow: `${WINDOW_MS}ms`, quotaOvershoot: OVERSHOOT, quotaSlack: SLACK };
  mesh = new Mesh({ keyRevocation: '5s', refuseUncheckedKeys: true, ...quota });
  await mesh.start();
  mesh.putRules(1, ROUTES, TENANTS);
  const options = { zone: 'z', slots: 200, workMs: 1 };
  callers = [
    await mesh.add({ ...options, service: 'guide' }),
    await mesh.add({ ...options, service: 'guide' }),
    await mesh.add({ ...options, service: 'guide' }),
  ];
  ledger = await mesh.add({ ...options, service: 'ledger' });
  await mesh.sendHeartbeats();
  ledger.target.behaviour = ({ headers }) => {
    const tenant = String(headers['x-tenant']);
    arrivals.set(tenant, [...(arrivals.get(tenant) ?? []), performance.now()]);
    return false;
  };
  for (const caller of callers) {
    await mesh.sendUntil(caller, { path: '/read/warm', apiKey: 'unlimited-1' }, isServed);
  }
  // Buckets begin empty.
  const warm = { path: '/read/warm', apiKey: 'small-1' };
  await mesh.sendUntil(callers[0]!, warm, isServed);
  await mesh.sendUntil(callers[0]!, { ...warm, apiKey: 'large-1' }, isServed);
  await sleep(1_200);
  arrivals.clear();
});
afterEach(() => mesh.stop());

function isServed({ status }: CallerAnswer): boolean {
  return status === 200;
}

/** Sends requests to the machines in turn, evenly spaced; resolves with the answers. */
async function load(
  apiKey: string,
  ratePerSecond: number,
  durationMs: number,
  machines = callers,
): Promise<readonly CallerAnswer[]> {
  const answers: Promise<CallerAnswer>[] = [];
  const start = performance.now();
  for (let count = 0; performance.now() < start + durationMs; count += 1) {
    const machine = machines[count % machines.length]!;
    answers.push(mesh.send(machine, { path: '/read/1', apiKey, deadlineMs: 2_000 }));
    const dueMs = start + ((count + 1) * 1_000) / ratePerSecond - performance.now();
    if (dueMs > 0) await sleep(dueMs);
  }
  return Promise.all(answers);
}

/** Lists the different outcomes, by status and result code. */
function listDistinctOutcomes(answers: readonly CallerAnswer[]): readonly string[] {
  const outcomes = answers.map(({ status, headers }) =>
    `${status} ${String(headers['sillshore-result'] ?? '')}`.trim(),
  );
  return [...new Set(outcomes)];
}

function busiestWindow(times: readonly number[] = []): number {
  const counts = times.map(
    (time, index) => times.slice(index).filter((other) => other < time + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

function boundOf({ ratePerSecond, burst }: typeof SMALL): number {
  return ((ratePerSecond * WINDOW_MS) / 1_000 + burst) * (1 + OVERSHOOT) + SLACK;
}

test('all requests of a tenant within its limit are served, whichever nodes it calls', async () => {
  const answers = await load('large-1', 60, 2_500);
  assert.deepEqual(listDistinctOutcomes(answers), ['200']);
});

test('a tenant beyond its limit is served up to the limit, and others are unaffected', async () => {
  const [overLimit, withinLimit] = await Promise.all([
    load('small-1', 150, 3_000),
    load('large-1', 50, 3_000),
  ]);
  assert.deepEqual(listDistinctOutcomes(withinLimit), ['200']);
  const served = overLimit.filter(isServed).length;
  assert.ok(served >= 0.8 * (SMALL.burst + SMALL.ratePerSecond * 3), `${served} served`);
  assert.ok(busiestWindow(arrivals.get('small')) <= boundOf(SMALL));
  const refused = overLimit.filter(({ status }) => status === 429);
  assert.equal(served + refused.length, overLimit.length);
  for (const { headers } of refused) {
    assert.equal(headers['sillshore-result'], String(ResultCode.TenantLimitReached));
    assert.equal(headers['sillshore-execution'], 'not-run');
    assert.ok(Number(headers['retry-after']) > 0);
  }
});

test('a tenant without limit is not counted', async () => {
  const answers = await load('unlimited-1', 300, 1_000);
  assert.ok(answers.every(isServed));
});

test('the bound holds while the counting nodes are restarted', async () => {
  const overLimit = load('small-1', 150, 5_000, callers.slice(0, 2));
  for (const machine of [ledger, callers[2]!]) {
    await sleep(600);
    await machine.kernel.stop();
    await machine.restart();
  }
  await ledger.target.sendHeartbeat(ledger.registration);
  await overLimit;
  const most = busiestWindow(arrivals.get('small'));
  assert.ok(most <= boundOf(SMALL), `${most} in a window, ${boundOf(SMALL)} allowed`);
});

test('a new limit applies at once', async () => {
  mesh.putRules(2, ROUTES, [{ name: 'small', keys: ['small-1'], ratePerSecond: 2, burst: 2 }]);
  await waitUntil(async () => {
    const answers = await load('small-1', 100, 300);
    return answers.filter(isServed).length <= 3;
  });
});

test('requests that were not run do not count', async () => {
  mesh.putRules(2, [...ROUTES, { path: '/nowhere/', service: 'missing' }], TENANTS);
  const nowhere = { path: '/nowhere/1', apiKey: 'small-1' };
  await mesh.sendUntil(callers[0]!, nowhere, ({ status }) => status === 503);
  for (let count = 0; count < 60; count += 1) await mesh.send(callers[0]!, nowhere);
  const answers = await load('small-1', 18, 1_000, [callers[0]!]);
  assert.deepEqual(listDistinctOutcomes(answers), ['200']);
});

test('the bound holds after a release of quota keys that the store does late', async () => {
  const [holder, asking] = [callers[0]!, callers[1]!];
  const group = groupOfTenant('small');
  assert.equal(mesh.store.get(`${QUOTA_KEY_PREFIX}${group}`), holder.id);
  assert.equal(
    orderCandidates(
      group,
      mesh.machines.map(({ id }) => id),
    )[0],
    ledger.id,
  );
  mesh.store.faults.lateWriteMs = 1_500;
  await holder.kernel.stop();
  mesh.store.faults.lateWriteMs = 0;
  await holder.restart();
  const warm = { path: '/read/warm', apiKey: 'small-1' };
  await mesh.sendUntil(holder, warm, isServed);
  await sleep(1_500);
  // A node that starts begins to count the groups that nobody counts, and another one asks it first.
  for (const machine of [ledger, asking]) {
    await machine.kernel.stop();
    await machine.restart();
    await machine.target.sendHeartbeat(machine.registration);
    await sleep(1_200);
  }
  for (const caller of [holder, asking]) await mesh.sendUntil(caller, warm, isServed);
  await sleep(1_200);
  arrivals.clear();
  await load('small-1', 150, 3_000, [holder, asking]);
  const most = busiestWindow(arrivals.get('small'));
  assert.ok(most <= boundOf(SMALL), `${most} in a window, ${boundOf(SMALL)} allowed`);
});

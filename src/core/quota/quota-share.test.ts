/**
 * Simulates nodes that share a tenant's limit over a network that loses and delays messages, with counters
 * that restart. No window may exceed the bound, and no request within the limit may be refused while all
 * nodes are connected.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createRandom, type Random } from '../random.js';
import { QuotaCounter, type QuotaLimit } from './quota-counter.js';
import {
  grantLifetimeMs,
  QuotaShare,
  type QuotaAllowance,
  type QuotaDecision,
} from './quota-share.js';

const ALLOWANCE: QuotaAllowance = { windowMs: 5_000, overshoot: 0.1, slack: 20 };
const LIMIT: QuotaLimit = { requestsPerSecond: 40, burst: 40 };
const MS_PER_SECOND = 1_000;

function createShare(): { share: QuotaShare; pass(milliseconds: number): void; now(): number } {
  let now = 0;
  const share = new QuotaShare(
    () => now,
    () => ALLOWANCE,
  );
  return { share, pass: (milliseconds) => (now += milliseconds), now: () => now };
}

test('a request waits for a grant, and further ones use what was granted ahead', () => {
  const { share, now } = createShare();
  const decisions: QuotaDecision[] = [];
  share.admit('t', LIMIT, (decision) => decisions.push(decision));
  const [request] = share.createRequests();
  assert.deepEqual(request, { tenant: 't', waiting: 1, ahead: 1, returned: 0 });
  share.onGrants([{ tenant: 't', granted: 2, retryAfterMs: 0 }], now());
  share.admit('t', LIMIT, (decision) => decisions.push(decision));
  assert.deepEqual(
    decisions.map(({ type }) => type),
    ['granted', 'granted'],
  );
});

test('a request that comes after a quota request waits for the next one', () => {
  const { share, now } = createShare();
  const decisions: string[] = [];
  share.admit('t', LIMIT, ({ type }) => decisions.push(`first ${type}`));
  share.createRequests();
  share.admit('t', LIMIT, ({ type }) => decisions.push(`second ${type}`));
  share.onGrants([{ tenant: 't', granted: 0, retryAfterMs: 70 }], now());
  assert.deepEqual(decisions, ['first refused']);
  assert.equal(share.createRequests()[0]?.waiting, 1);
});

test('a grant expires, counted from its request, and is returned', () => {
  const { share, pass, now } = createShare();
  const lifetimeMs = grantLifetimeMs(LIMIT, ALLOWANCE);
  share.admit('t', LIMIT, () => {});
  share.createRequests();
  const requestedAt = now();
  pass(lifetimeMs / 2);
  share.onGrants([{ tenant: 't', granted: 4, retryAfterMs: 0 }], requestedAt);
  pass(lifetimeMs / 2);
  let decided = false;
  share.admit('t', LIMIT, () => (decided = true));
  assert.equal(decided, false);
  assert.equal(share.createRequests()[0]?.returned, 3);
});

test('a grant that arrives after its expiry admits nothing', () => {
  const { share, pass, now } = createShare();
  const decisions: string[] = [];
  share.admit('t', LIMIT, ({ type }) => decisions.push(type));
  share.createRequests();
  const requestedAt = now();
  pass(10_000);
  share.onGrants([{ tenant: 't', granted: 1, retryAfterMs: 0 }], requestedAt);
  assert.deepEqual(decisions, ['uncounted']);
});

test('a granted request that was not made is returned', () => {
  const { share, pass, now } = createShare();
  const decisions: QuotaDecision[] = [];
  const admit = (): unknown => share.admit('t', LIMIT, (decision) => decisions.push(decision));
  admit();
  share.createRequests();
  share.onGrants([{ tenant: 't', granted: 1, retryAfterMs: 0 }], now());
  const [first] = decisions;
  assert.ok(first?.type === 'granted');
  share.returnGrant(first.token);
  admit();
  assert.equal(decisions.length, 2, 'it is used for the next request');
  pass(10_000);
  share.returnGrant(first.token);
  admit();
  assert.equal(
    share.createRequests()[0]?.returned,
    1,
    'or is returned to the counter when it has expired',
  );
});

test('a request waits for a bounded time, and a cancelled one gets no decision', () => {
  const { share, pass } = createShare();
  const decisions: string[] = [];
  share.admit('t', LIMIT, ({ type }) => decisions.push(type));
  const cancel = share.admit('t', LIMIT, ({ type }) => decisions.push(type));
  cancel();
  share.createRequests();
  share.onNoReply();
  pass(999);
  share.expireWaits();
  assert.deepEqual(decisions, []);
  pass(1);
  share.expireWaits();
  assert.deepEqual(decisions, ['uncounted']);
  assert.equal(share.isWaiting, false);
});

test('grants last longer when the allowance is large for the rate, and stay within it', () => {
  for (const requestsPerSecond of [1, 5, 20, 100, 1_000]) {
    const limit = { requestsPerSecond, burst: requestsPerSecond };
    const lifetimeMs = grantLifetimeMs(limit, ALLOWANCE);
    const perWindow = requestsPerSecond * 5 + limit.burst;
    const used = perWindow + (lifetimeMs * requestsPerSecond) / MS_PER_SECOND;
    assert.ok(lifetimeMs >= 400 && lifetimeMs <= 3_000, `${lifetimeMs}`);
    assert.ok(used <= perWindow * 1.1 + 20);
  }
});

/** One node of the simulated fleet. */
interface SimulatedNode {
  readonly share: QuotaShare;
  disconnectedUntil: number;
}

interface Scenario {
  readonly seed: number;
  readonly nodes: number;
  /** Requests a second of all nodes, as a multiple of the limit. */
  readonly load: number;
  readonly partitions: readonly {
    readonly node: number;
    readonly at: number;
    readonly forMs: number;
  }[];
  readonly restarts: readonly number[];
}

interface Message {
  readonly at: number;
  deliver(): void;
}

const STEP_MS = 5;
const DURATION_MS = 14_000;
/** Longest delay of a message, in milliseconds. */
const MAX_DELAY_MS = 12;
const REQUEST_INTERVAL_MS = 20;
const REPLY_TIMEOUT_MS = 300;

/** Simulates a fleet; returns the times of admitted requests, and how many were not admitted. */
function simulateFleet({ seed, nodes, load, partitions, restarts }: Scenario): {
  readonly admitted: readonly number[];
  readonly denied: number;
} {
  const random: Random = createRandom(seed);
  let now = 0;
  let counter = new QuotaCounter(-10_000);
  const admitted: number[] = [];
  let denied = 0;
  const network: Message[] = [];
  const send = (deliver: () => void): void => {
    network.push({ at: now + 1 + random.next() * MAX_DELAY_MS, deliver });
  };
  const fleet: SimulatedNode[] = Array.from({ length: nodes }, () => ({
    share: new QuotaShare(
      () => now,
      () => ALLOWANCE,
    ),
    disconnectedUntil: 0,
  }));
  const sentAt = fleet.map(() => -Infinity);
  const sendRequest = (index: number): void => {
    const { share, disconnectedUntil } = fleet[index]!;
    if (now - sentAt[index]! < REPLY_TIMEOUT_MS && sentAt[index] !== -Infinity) return;
    if (sentAt[index] !== -Infinity) share.onNoReply();
    sentAt[index] = -Infinity;
    const requests = share.createRequests();
    if (requests.length === 0) return;
    const requestedAt = now;
    sentAt[index] = requestedAt;
    if (now < disconnectedUntil) return;
    send(() => {
      const grants = requests.map((request) => counter.grant(now, request, LIMIT));
      if (now < fleet[index]!.disconnectedUntil) return;
      send(() => {
        if (sentAt[index] !== requestedAt) return;
        sentAt[index] = -Infinity;
        share.onGrants(grants, requestedAt);
      });
    });
  };
  for (; now < DURATION_MS; now += STEP_MS) {
    for (const { node, at, forMs } of partitions) {
      if (at >= now && at < now + STEP_MS) fleet[node % nodes]!.disconnectedUntil = now + forMs;
    }
    if (restarts.some((at) => at >= now && at < now + STEP_MS)) counter = new QuotaCounter(now);
    for (const message of network.splice(0)) {
      if (message.at <= now) message.deliver();
      else network.push(message);
    }
    const arrivals = (load * LIMIT.requestsPerSecond * STEP_MS) / MS_PER_SECOND;
    for (let left = arrivals; left > 0; left -= 1) {
      if (left < 1 && random.next() > left) continue;
      const { share } = fleet[Math.floor(random.next() * nodes)]!;
      share.admit('t', LIMIT, ({ type }) => {
        if (type === 'granted') admitted.push(now);
        else denied += 1;
      });
    }
    fleet.forEach(({ share }, index) => {
      share.expireWaits();
      if (now % REQUEST_INTERVAL_MS === 0 || share.isWaiting) sendRequest(index);
    });
  }
  return { admitted, denied };
}

/** Most requests in any window. */
function maxPerWindow(times: readonly number[]): number {
  let first = 0;
  let most = 0;
  times.forEach((time, index) => {
    while (times[first]! <= time - ALLOWANCE.windowMs) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

const BOUND =
  ((LIMIT.requestsPerSecond * ALLOWANCE.windowMs) / MS_PER_SECOND + LIMIT.burst) *
    (1 + ALLOWANCE.overshoot) +
  ALLOWANCE.slack;

test('no window holds more than the bound, whichever nodes are disconnected or counters restarted', () => {
  const scenario = fc.record({
    seed: fc.nat(),
    nodes: fc.integer({ min: 1, max: 12 }),
    load: fc.double({ min: 0.5, max: 6, noNaN: true }),
    partitions: fc.array(
      fc.record({
        node: fc.nat(11),
        at: fc.nat(DURATION_MS),
        forMs: fc.integer({ min: 50, max: 6_000 }),
      }),
      { maxLength: 8 },
    ),
    restarts: fc.array(fc.nat(DURATION_MS), { maxLength: 4 }),
  });
  fc.assert(
    fc.property(scenario, (generated) => maxPerWindow(simulateFleet(generated).admitted) <= BOUND),
    { seed: 0x5eed, numRuns: 60 },
  );
});

test('no request within the limit is refused while all nodes are connected', () => {
  fc.assert(
    fc.property(fc.nat(), fc.integer({ min: 1, max: 12 }), (seed, nodes) => {
      const { denied } = simulateFleet({ seed, nodes, load: 0.6, partitions: [], restarts: [] });
      return denied === 0;
    }),
    { seed: 0x5eed, numRuns: 30 },
  );
});

test('a tenant far over its limit gets nearly the whole of it', () => {
  const { admitted } = simulateFleet({ seed: 7, nodes: 8, load: 6, partitions: [], restarts: [] });
  const allowed = (LIMIT.requestsPerSecond * DURATION_MS) / MS_PER_SECOND + LIMIT.burst;
  assert.ok(admitted.length >= 0.95 * allowed, `${admitted.length} of ${allowed}`);
});

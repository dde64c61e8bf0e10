/**
 * Whole nodes and targets that state a request limit, or that they leave, in their answers. What a target
 * has stated binds every node that passed such an answer on, also while the target's own node restarts.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ReceivedRequest } from '../platform/stand-ins/target-stand-in.js';
import { Mesh, type CallerAnswer, type Machine } from './stand-ins/mesh.js';

/** Time after the first statement from which the bound holds, in milliseconds. */
const CONTACT_MS = 3_000;
/** Window over which requests are counted, in milliseconds. */
const WINDOW_MS = 4_000;
/** A node is bound by an answer that it passed on this long ago, in milliseconds. */
const PASSED_ON_MS = 500;
/** What a window may hold, as a multiple of what the limit allows, and further requests. */
const WINDOW_SHARE = 1.5;
const WINDOW_SLACK = 5;
/** Time after which no request may reach a target that stated that it leaves, in milliseconds. */
const DRAIN_MS = 2_000;
const MS_PER_SECOND = 1_000;
const TARGETS = 4;
const ENTRIES = 5;
const WORK_MS = 40;
const SLOTS = 30;
const HEARTBEAT_INTERVAL_MS = 500;
const SERVED = 200;

/** A request that reached a target. */
interface Arrival {
  readonly target: Machine;
  /** Node where the request began. */
  readonly entry: string;
  readonly at: number;
  /** When its caller sent it. */
  readonly sentAt: number;
}

/** Callers at several entry nodes of four targets of one service, and what reaches the targets. */
class StatementTest {
  readonly arrivals: Arrival[] = [];
  readonly answers: CallerAnswer[] = [];
  /** When each entry first passed on a statement of each target. */
  private readonly passedOn = new Map<string, number>();
  private readonly sent = new Map<string, { readonly entry: string; readonly sentAt: number }>();
  private count = 0;
  private running = true;
  private heartbeats: NodeJS.Timeout | undefined;

  private constructor(
    readonly mesh: Mesh,
    readonly targets: readonly Machine[],
    readonly entries: readonly Machine[],
  ) {}

  static async start(): Promise<StatementTest> {
    const mesh = new Mesh();
    await mesh.start();
    mesh.putRules(1, [{ path: '/read/', service: 'reader' }]);
    const options = { zone: 'z', workMs: WORK_MS, slots: SLOTS };
    for (let index = 0; index < TARGETS; index += 1) {
      await mesh.add({ ...options, service: 'reader' });
    }
    for (let index = 0; index < ENTRIES; index += 1) {
      await mesh.add({ ...options, service: 'front' });
    }
    const targets = mesh.machines.slice(0, TARGETS);
    const entries = mesh.machines.slice(TARGETS);
    targets.forEach(({ target }, index) => target.restart(`target-${index}`));
    const created = new StatementTest(mesh, targets, entries);
    for (const machine of targets) {
      machine.target.behaviour = (request) => created.onArrival(machine, request);
    }
    await mesh.sendHeartbeats();
    created.heartbeats = setInterval(() => void mesh.sendHeartbeats(), HEARTBEAT_INTERVAL_MS);
    for (const entry of entries) {
      await mesh.sendUntil(entry, { path: '/read/warm' }, ({ status }) => status === SERVED);
    }
    return created;
  }

  /** Sends requests at a rate, at the entries in turn, for a time; answers are not waited for. */
  async load(perSecond: number, forMs: number): Promise<void> {
    const start = performance.now();
    for (let index = 0; performance.now() - start < forMs && this.running; index += 1) {
      const dueAt = start + (index * MS_PER_SECOND) / perSecond;
      await sleep(Math.max(0, dueAt - performance.now()));
      void this.sendOne();
    }
  }

  /** Most requests in a window, from `CONTACT_MS` after a time, of entries that had passed the statement on. */
  worstWindow(target: Machine, statedAt: number): number {
    const counted = this.arrivals.filter(
      (arrival) =>
        arrival.target === target &&
        arrival.at >= statedAt + CONTACT_MS &&
        arrival.at >= this.passedOnAt(arrival) + PASSED_ON_MS,
    );
    return Math.max(
      0,
      ...counted.map(
        ({ at }) => counted.filter((one) => one.at > at - WINDOW_MS && one.at <= at).length,
      ),
    );
  }

  /** Requests at a target that were sent longer than `DRAIN_MS` after their entry passed its statement on. */
  afterDrain(target: Machine): number {
    return this.arrivals.filter(
      (arrival) =>
        arrival.target === target && arrival.sentAt > this.passedOnAt(arrival) + DRAIN_MS,
    ).length;
  }

  /** Requests that reached a target in a span. */
  arrivedAt(target: Machine, from: number, to: number): number {
    return this.arrivals.filter((one) => one.target === target && one.at >= from && one.at < to)
      .length;
  }

  async stop(): Promise<void> {
    this.running = false;
    clearInterval(this.heartbeats);
    await this.mesh.stop();
  }

  private passedOnAt({ target, entry }: Arrival): number {
    return this.passedOn.get(`${entry} ${target.target.id}`) ?? Infinity;
  }

  private onArrival(target: Machine, { attemptId }: ReceivedRequest): boolean {
    const sent = this.sent.get(attemptId);
    if (sent !== undefined) this.arrivals.push({ target, at: performance.now(), ...sent });
    return false;
  }

  private async sendOne(): Promise<void> {
    this.count += 1;
    const entry = this.entries[this.count % ENTRIES]!;
    const attemptId = `counted-${this.count}`;
    this.sent.set(attemptId, { entry: entry.id, sentAt: performance.now() });
    const answer = await this.mesh
      .send(entry, { path: '/read/one', attemptId, deadlineMs: 2_000 })
      .catch(() => undefined);
    if (answer === undefined) return;
    this.answers.push(answer);
    const { headers } = answer;
    if (headers['server-limit'] === undefined && headers['server-leaving'] === undefined) return;
    const key = `${entry.id} ${String(headers['x-server-stamp']).replace('stamp ', '')}`;
    if (!this.passedOn.has(key)) this.passedOn.set(key, performance.now());
  }
}

function allowedInWindow(limit: number): number {
  return (WINDOW_SHARE * limit * WINDOW_MS) / MS_PER_SECOND + WINDOW_SLACK;
}

test('a target that states a request limit gets no more from all nodes together', async () => {
  const run = await StatementTest.start();
  try {
    const [first, second] = run.targets;
    await run.load(120, 1_000);
    const statedAt = performance.now();
    first!.target.statements = { requestLimit: '7.3' };
    second!.target.statements = { requestLimit: '12' };
    await run.load(120, 8_000);
    for (const [target, limit] of [
      [first!, 7.3],
      [second!, 12],
    ] as const) {
      const worst = run.worstWindow(target, statedAt);
      assert.ok(worst <= allowedInWindow(limit), `${worst} in 4 s at a limit of ${limit}`);
    }
  } finally {
    await run.stop();
  }
});

test('a restart of its node does not make a stated request limit forgotten', async () => {
  const run = await StatementTest.start();
  try {
    const [target] = run.targets;
    await run.load(160, 1_000);
    const statedAt = performance.now();
    target!.target.statements = { requestLimit: '4' };
    await run.load(160, 5_000);
    await Promise.all([run.load(160, 6_000), target!.kernel.stop().then(() => target!.restart())]);
    const worst = run.worstWindow(target!, statedAt);
    assert.ok(worst <= allowedInWindow(4), `${worst} in 4 s at a limit of 4`);
    const restartedUse = run.arrivedAt(target!, performance.now() - 3_000, performance.now());
    assert.ok(restartedUse > 0, 'the target gets requests again after the restart');
  } finally {
    await run.stop();
  }
});

test('a target that states in its answers that it leaves gets no request after the drain time', async () => {
  const run = await StatementTest.start();
  try {
    const [target] = run.targets;
    await run.load(120, 1_000);
    target!.target.statements = { leaving: true };
    await run.load(120, 3_000);
    await Promise.all([run.load(120, 5_000), target!.kernel.stop().then(() => target!.restart())]);
    assert.equal(run.afterDrain(target!), 0);
  } finally {
    await run.stop();
  }
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../core/failure.js';
import type { HttpAnswer } from '../core/http-message.js';
import { ResultCode } from '../core/result-code.js';
import { ManualClock } from '../kernel/clock.js';
import { silentEventLog } from '../kernel/event.js';
import type { Member, MemberState, Membership } from '../membership/membership.js';
import type { PeerCallName } from '../peer/messages.js';
import type { PeerCallHandler, PeerNetwork } from '../peer/peer-network.js';
import type { PlatformClient } from '../platform/platform-client.js';
import type { ClaimDecision, ClaimRequest } from './claim-service.js';
import { ClaimTask, createIncarnation } from './claim-task.js';

const TICKS_BEFORE_READY = 3_000;

/** Nodes joined by a network, a membership view and a platform, all in memory. */
class Fleet {
  readonly clock = new ManualClock();
  readonly nodes = new Map<string, ClaimTask>();
  readonly cutOff = new Set<string>();
  platformUp = true;
  private readonly handlers = new Map<string, PeerCallHandler<'claimReplica'>>();
  private readonly members = new Map<string, { zone: string; state: MemberState }>();
  private readonly stored = new Map<string, { value: string; modRevision: number }>();
  private starts = 0;

  constructor() {
    this.clock.advance(1_000_000);
  }

  /** Starts a node; a started name again is a restart without memory. */
  start(nodeId: string, zone: string): ClaimTask {
    this.starts += 1;
    this.nodes.get(nodeId)?.stop();
    const task = new ClaimTask({
      nodeId,
      incarnation: createIncarnation(this.clock.wallNow(), this.starts / 4_096),
      clock: this.clock,
      log: silentEventLog,
      network: this.createNetwork(nodeId),
      membership: this.createMembership(nodeId),
      platform: this.platform,
      mailboxCapacity: 1_000,
    });
    this.nodes.set(nodeId, task);
    this.members.set(nodeId, { zone, state: 'alive' });
    task.start();
    return task;
  }

  /** Ends a node without notice; membership learns of it. */
  kill(nodeId: string): void {
    this.nodes.get(nodeId)?.stop();
    this.nodes.delete(nodeId);
    this.handlers.delete(nodeId);
    this.members.delete(nodeId);
  }

  /** Lets virtual time pass, with all work that falls due. */
  async pass(milliseconds: number): Promise<void> {
    for (let step = 0; step < milliseconds; step += 5) {
      this.clock.advance(5);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Awaits a promise while virtual time passes. */
  async settle<T>(promise: Promise<T>): Promise<T> {
    let done = false;
    void promise.finally(() => (done = true));
    for (let step = 0; !done && step < 4_000; step += 1) await this.pass(5);
    return promise;
  }

  createRequest(key: string, attemptId: string, fingerprint = 'f'): ClaimRequest {
    const deadline = this.clock.now() + 1_000;
    return { tenant: 't', service: 's', key, fingerprint, attemptId, deadline };
  }

  /** A key issued `ageMs` ago. */
  createKey(ageMs = 0, serial = 0): string {
    const time = (this.clock.wallNow() - ageMs).toString(16).padStart(12, '0');
    const tail = serial.toString(16).padStart(12, '0');
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
  }

  claim(nodeId: string, key: string, attemptId: string, fingerprint = 'f'): Promise<ClaimDecision> {
    return this.settle(
      this.nodes.get(nodeId)!.claim(this.createRequest(key, attemptId, fingerprint)),
    );
  }

  private createNetwork(self: string): PeerNetwork {
    const call = (node: string, _name: PeerCallName, request: unknown): Promise<unknown> => {
      const handler = this.handlers.get(node);
      const cut = this.cutOff.has(node) !== this.cutOff.has(self);
      if (handler === undefined || cut) {
        return Promise.resolve(Result.err(createFailure(ResultCode.PeerUnreachable, node)));
      }
      return handler(self, request as never, new AbortController().signal);
    };
    return {
      call: call as PeerNetwork['call'],
      handle: (_name, validate, handler) => {
        this.handlers.set(self, ((from, request, signal) => {
          const checked = validate(request);
          if (checked.isErr) return Promise.resolve(Result.err(checked.error));
          return handler(from, checked.value, signal);
        }) as PeerCallHandler<'claimReplica'>);
      },
      setAddress: () => {},
    };
  }

  private createMembership(self: string): Membership {
    const list = (): Member[] =>
      [...this.members].map(([nodeId, { zone, state }]) => ({
        ...{ nodeId, zone, region: 'r', incarnation: 1, sequence: 1, ready: true },
        ...{ peerAddress: '', entryAddress: '', adminAddress: '', configVersion: 0 },
        ...{ fronts: [], leavingTargets: [] },
        state: this.cutOff.has(nodeId) === this.cutOff.has(self) ? state : ('suspect' as const),
      }));
    return {
      self: () => list().find((member) => member.nodeId === self)!,
      members: list,
      find: (nodeId) => list().find((member) => member.nodeId === nodeId),
      update: () => {},
      addSeeds: () => {},
      leave: () => Promise.resolve(),
      subscribe: () => () => {},
    };
  }

  private readonly platform: PlatformClient = {
    available: true,
    range: (prefix) => {
      if (!this.platformUp) return Promise.resolve(Result.err(platformDown()));
      const found = this.stored.get(prefix);
      const base = { key: prefix, createRevision: 1, version: 1 };
      const values = found === undefined ? [] : [{ ...base, ...found }];
      return Promise.resolve(Result.ok({ values, revision: 1 }));
    },
    transact: ([compare], [put]) => {
      if (!this.platformUp) return Promise.resolve(Result.err(platformDown()));
      const revision = this.stored.get(put!.key)?.modRevision ?? 0;
      const succeeded = revision === compare!.modRevision;
      if (succeeded) this.stored.set(put!.key, { value: put!.value, modRevision: revision + 1 });
      return Promise.resolve(Result.ok({ succeeded, revision: revision + 1 }));
    },
    watch: () => () => {},
    machines: () => Promise.resolve(Result.ok([])),
  };
}

function platformDown(): Failure {
  return createFailure(ResultCode.PlatformUnavailable, 'down');
}

async function createFleet(): Promise<Fleet> {
  const fleet = new Fleet();
  fleet.start('a', 'zone-1');
  fleet.start('b', 'zone-2');
  fleet.start('c', 'zone-3');
  await fleet.pass(TICKS_BEFORE_READY);
  return fleet;
}

function describeMembers(task: ClaimTask): string {
  const members = task.placement?.members.map((member) => member.nodeId) ?? [];
  return [...members].sort().join(',');
}

const ANSWER: HttpAnswer = { status: 201, headers: [['x', 'y']], body: new Uint8Array([1, 2]) };

test('a key is granted once, and its answer is kept for repeats at other nodes', async () => {
  const fleet = await createFleet();
  const key = fleet.createKey();
  assert.equal((await fleet.claim('a', key, 'first')).type, 'granted');
  assert.equal((await fleet.claim('b', key, 'second')).type, 'in-progress');
  fleet.nodes.get('a')!.finish(fleet.createRequest(key, 'first'), ANSWER);
  await fleet.pass(10);
  assert.deepEqual(await fleet.claim('c', key, 'third'), { type: 'finished', answer: ANSWER });
  const reused = await fleet.claim('c', key, 'fourth', 'another request');
  assert.ok(reused.type === 'refused');
  assert.equal(reused.failure.code, ResultCode.IdempotencyKeyReused);
});

test('a released key can be claimed again', async () => {
  const fleet = await createFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  fleet.nodes.get('a')!.release(fleet.createRequest(key, 'first'));
  await fleet.pass(10);
  assert.equal((await fleet.claim('b', key, 'second')).type, 'granted');
});

test('two nodes that claim at once: at most one is granted', async () => {
  const fleet = await createFleet();
  for (let serial = 0; serial < 20; serial += 1) {
    const key = fleet.createKey(0, serial);
    const claims = ['a', 'b', 'c'].map((node) =>
      fleet.nodes.get(node)!.claim(fleet.createRequest(key, `${node}-${serial}`)),
    );
    const decisions = await fleet.settle(Promise.all(claims));
    assert.equal(decisions.filter((decision) => decision.type === 'granted').length, 1);
  }
});

test('invalid, early and late keys are refused by number', async () => {
  const fleet = await createFleet();
  const cases = [
    ['no uuid', ResultCode.InvalidField],
    [fleet.createKey(-60_000), ResultCode.InvalidField],
    [fleet.createKey(700_000), ResultCode.IdempotencyKeyExpired],
  ] as const;
  for (const [key, code] of cases) {
    const decision = await fleet.claim('a', key, 'x');
    assert.ok(decision.type === 'refused');
    assert.equal(decision.failure.code, code, key);
  }
});

test('a node that is cut off is not granted, and does not say that the key was not run', async () => {
  const fleet = await createFleet();
  fleet.cutOff.add('c');
  const key = fleet.createKey();
  const decision = await fleet.claim('c', key, 'x');
  assert.ok(decision.type === 'refused');
  assert.equal(decision.failure.code, ResultCode.ClaimUnavailable);
  assert.equal(decision.failure.execution, 'unknown');
  assert.equal((await fleet.claim('a', key, 'y')).type, 'granted');
});

test('a restarted replica recovers and still knows the key', async () => {
  const fleet = await createFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  fleet.start('a', 'zone-1');
  await fleet.pass(2_000);
  assert.equal(fleet.nodes.get('a')!.replicaStatus, 'voting');
  assert.equal((await fleet.claim('a', key, 'second')).type, 'in-progress');
  assert.equal((await fleet.claim('a', fleet.createKey(0, 9), 'third')).type, 'granted');
});

test('a machine replaced under a new name takes the place, also while the platform is down', async () => {
  const fleet = await createFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  fleet.platformUp = false;
  fleet.kill('a');
  fleet.start('d', 'zone-1');
  await fleet.pass(5_000);
  assert.equal(describeMembers(fleet.nodes.get('d')!), 'b,c,d');
  assert.equal(fleet.nodes.get('d')!.replicaStatus, 'voting');
  assert.equal((await fleet.claim('d', key, 'second')).type, 'in-progress');
  fleet.kill('b');
  fleet.start('e', 'zone-2');
  await fleet.pass(5_000);
  assert.equal((await fleet.claim('e', key, 'third')).type, 'in-progress');
});

test('planned stops of two nodes at once leave the tables with the third', async () => {
  const fleet = await createFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  const [a, b] = [fleet.nodes.get('a')!, fleet.nodes.get('b')!];
  await fleet.settle(Promise.all([a.drain(), b.drain()]));
  assert.equal(describeMembers(fleet.nodes.get('c')!), 'c');
  fleet.kill('a');
  fleet.kill('b');
  assert.equal((await fleet.claim('c', key, 'second')).type, 'in-progress');
  assert.equal((await fleet.claim('c', fleet.createKey(0, 1), 'third')).type, 'granted');
  fleet.start('d', 'zone-1');
  fleet.start('e', 'zone-2');
  await fleet.pass(5_000);
  assert.equal(describeMembers(fleet.nodes.get('d')!), 'c,d,e');
  assert.equal((await fleet.claim('e', key, 'fourth')).type, 'in-progress');
});

test('a group whose members all restarted is started anew and refuses the keys of before', async () => {
  const fleet = await createFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  fleet.start('a', 'zone-1');
  fleet.start('b', 'zone-2');
  fleet.start('c', 'zone-3');
  await fleet.pass(20_000);
  assert.equal((await fleet.claim('a', key, 'second')).type, 'refused');
  await fleet.pass(20_000);
  assert.equal(fleet.nodes.get('c')!.replicaStatus, 'voting');
  const decision = await fleet.claim('b', key, 'third');
  assert.ok(decision.type === 'refused');
  assert.equal(decision.failure.code, ResultCode.IdempotencyKeyExpired);
  await fleet.pass(30_000);
  assert.equal((await fleet.claim('b', fleet.createKey(), 'fourth')).type, 'granted');
});

test('two cut-off members are not taken for lost', async () => {
  const fleet = await createFleet();
  const key = fleet.createKey();
  await fleet.claim('b', key, 'first');
  fleet.cutOff.add('b');
  fleet.cutOff.add('c');
  await fleet.pass(60_000);
  assert.equal(fleet.nodes.get('a')!.placement?.epoch, fleet.nodes.get('b')!.placement?.epoch);
  assert.equal((await fleet.claim('a', key, 'second')).type, 'in-progress');
  assert.equal((await fleet.claim('c', key, 'third')).type, 'in-progress');
  const later = fleet.createKey(0, 1);
  assert.equal((await fleet.claim('a', later, 'fourth')).type, 'refused');
  assert.equal((await fleet.claim('c', later, 'fifth')).type, 'granted');
});

test('entry nodes share the attempts of a request id', async () => {
  const fleet = await createFleet();
  const charge = (node: string, wanted: number): Promise<Result<number, Failure>> => {
    const deadline = fleet.clock.now() + 1_000;
    const request = { tenant: 't', requestId: 'r', wanted, bound: 3, deadline };
    return fleet.settle(fleet.nodes.get(node)!.charge(request));
  };
  assert.deepEqual(await charge('a', 2), Result.ok(2));
  assert.deepEqual(await charge('b', 2), Result.ok(1));
  const third = await charge('c', 1);
  assert.ok(third.isErr);
  assert.equal(third.error.code, ResultCode.AttemptsExhausted);
  fleet.cutOff.add('c');
  assert.deepEqual(await charge('c', 3), Result.ok(1), 'one attempt without a majority');
  assert.ok((await charge('c', 3)).isErr);
});

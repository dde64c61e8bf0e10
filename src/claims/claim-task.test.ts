import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Result } from 'true-myth';
import type { Failure } from '../core/failure.js';
import type { HttpAnswer } from '../core/http-message.js';
import { ResultCode } from '../core/result-code.js';
import { ManualClock } from '../kernel/clock.js';
import { silentEventLog } from '../kernel/event.js';
import type { Member, Membership } from '../membership/membership.js';
import { InMemoryPeerHub } from '../peer/in-memory-peer-network.js';
import { InMemoryPlatform, type WriteFate } from '../testing/in-memory-platform.js';
import type { ReplicaReply, ReplicaRequest } from '../core/claim/replica-messages.js';
import type { ClaimDecision, ClaimRequest } from './claim-service.js';
import { ClaimTask, createIncarnation } from './claim-task.js';
import { DEFAULT_CLAIM_TIMING } from './claim-timing.js';

const READY_AFTER_MS = 3_000;
const VIRTUAL_STEP_MS = 5;

/** Nodes joined by a network, a membership view and a platform, all in memory. */
class Fleet {
  readonly clock = new ManualClock();
  readonly nodes = new Map<string, ClaimTask>();
  readonly platform: InMemoryPlatform;
  private readonly cutOff = new Set<string>();
  private readonly hub = new InMemoryPeerHub(this.clock);
  private readonly zones = new Map<string, string>();
  private starts = 0;

  constructor(
    nextWrite: () => WriteFate = () => 'ok',
    private readonly pageBytes = 262_144,
  ) {
    this.platform = new InMemoryPlatform(undefined, { nextWrite });
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
      network: this.hub.createNetwork(nodeId),
      membership: this.createMembership(nodeId),
      platform: this.platform,
      mailboxCapacity: 1_000,
      pageBytes: this.pageBytes,
    });
    this.nodes.set(nodeId, task);
    this.zones.set(nodeId, zone);
    for (const from of this.zones.keys()) {
      for (const to of this.zones.keys()) this.hub.find(from)?.setAddress(to, to);
    }
    task.start();
    return task;
  }

  /** Ends a node without notice; membership learns of it. */
  kill(nodeId: string): void {
    this.nodes.get(nodeId)?.stop();
    this.nodes.delete(nodeId);
    this.hub.remove(nodeId);
    this.zones.delete(nodeId);
  }

  /** Stops all members and starts one in the next epoch, as a proposer does that dies then. */
  async changeOnly(nodeId: string): Promise<void> {
    const old = this.nodes.get(nodeId)!.placement!;
    const network = this.hub.createNetwork('proposer');
    const ask = async (to: string, request: ReplicaRequest): Promise<ReplicaReply> => {
      network.setAddress(to, to);
      const result = await this.settle(
        network.call(to, 'claimReplica', { request }, { timeoutMs: 100 }),
      );
      assert.ok(result.isOk);
      return result.value.reply;
    };
    const prepare = {
      type: 'prepare',
      epoch: old.epoch,
      ballot: { round: 1, nodeId: 'x' },
    } as const;
    for (const member of old.members) await ask(member.nodeId, prepare);
    const read = { type: 'recover', epoch: old.epoch, nodeId, incarnation: 0 } as const;
    const { incarnation } = old.members.find((member) => member.nodeId === nodeId)!;
    const reply = await ask(nodeId, { ...read, incarnation });
    assert.ok(reply.type === 'recovered');
    const record = { ...old, epoch: old.epoch + 1, fresh: false };
    await ask(nodeId, { type: 'install', record, table: reply.memory.table });
  }

  /** Delays every message between two nodes. */
  delayAll(delayMs: number): void {
    for (const from of this.zones.keys()) {
      for (const to of this.zones.keys()) this.hub.setDelay(from, to, delayMs);
    }
  }

  /** Cuts a node off from all others; membership only suspects it. */
  cut(nodeId: string): void {
    this.cutOff.add(nodeId);
    for (const other of this.zones.keys()) {
      this.hub.cut(nodeId, other);
      this.hub.cut(other, nodeId);
    }
  }

  /** Lets virtual time pass, with all work that falls due. */
  async pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += VIRTUAL_STEP_MS) {
      this.clock.advance(VIRTUAL_STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Awaits a promise while virtual time passes. */
  async settle<T>(promise: Promise<T>): Promise<T> {
    let done = false;
    void promise.finally(() => (done = true));
    for (let step = 0; !done && step < 4_000; step += 1) await this.pass(VIRTUAL_STEP_MS);
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

  private createMembership(self: string): Membership {
    const list = (): Member[] =>
      [...this.zones].map(([nodeId, zone]) => ({
        ...{ nodeId, zone, region: 'r', incarnation: 1, sequence: 1, ready: true },
        ...{ peerAddress: '', entryAddress: '', adminAddress: '', configVersion: 0 },
        ...{ fronts: [], leavingTargets: [] },
        state: this.cutOff.has(nodeId) || this.cutOff.has(self) ? 'suspect' : 'alive',
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
}

async function createFleet(nextWrite?: () => WriteFate, pageBytes?: number): Promise<Fleet> {
  const fleet = new Fleet(nextWrite, pageBytes);
  fleet.start('a', 'zone-1');
  fleet.start('b', 'zone-2');
  fleet.start('c', 'zone-3');
  await fleet.pass(READY_AFTER_MS);
  return fleet;
}

function describeMembers(task: ClaimTask): string {
  const members = task.placement?.members.map((member) => member.nodeId) ?? [];
  return [...members].sort().join(',');
}

const ANSWER: HttpAnswer = { status: 201, headers: [['x', 'y']], body: Buffer.from([1, 2]) };

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
  fleet.cut('c');
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
  fleet.platform.down = true;
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

/** Claims keys at two nodes, one or both at once, and releases what was granted. */
async function claimThroughout(fleet: Fleet, drained: string, keys: number): Promise<string[]> {
  const claimants = ['a', 'b', 'c'].filter((node) => node !== drained);
  const claimed: string[] = [];
  const ends: Promise<void>[] = [];
  const claimOnce = async (node: string, key: string): Promise<void> => {
    const request = fleet.createRequest(key, `${node}-${key}`);
    const task = fleet.nodes.get(node)!;
    if ((await task.claim(request)).type === 'granted') task.release(request);
  };
  for (let serial = 0; serial < keys; serial += 1) {
    const key = fleet.createKey(0, serial);
    claimed.push(key);
    const nodes = serial % 3 === 2 ? claimants : [claimants[serial % 3]!];
    for (const node of nodes) ends.push(claimOnce(node, key));
    await fleet.pass(VIRTUAL_STEP_MS);
  }
  await fleet.settle(Promise.all(ends));
  return claimed;
}

for (const delayMs of [1, 7, 20, 60]) {
  test(`after a planned stop no ended claim keeps its key, messages take ${delayMs} ms`, async () => {
    const fleet = await createFleet();
    fleet.delayAll(delayMs);
    const drained = fleet.nodes.get('a')!.drain();
    const claimed = await claimThroughout(fleet, 'a', 100);
    await fleet.settle(drained);
    fleet.kill('a');
    await fleet.pass(10_000);
    const kept: string[] = [];
    for (const key of claimed) {
      const decision = await fleet.claim('b', key, `again-${key}`);
      if (decision.type !== 'granted') kept.push(`${key} ${decision.type}`);
    }
    assert.deepEqual(kept, []);
  });
}

test('tables of many pages are handed over and read after a restart', async () => {
  const fleet = await createFleet(undefined, 1_000);
  const keys = Array.from({ length: 40 }, (_, serial) => fleet.createKey(0, serial));
  for (const key of keys) await fleet.claim('a', key, `first-${key}`);
  fleet.start('b', 'zone-2');
  await fleet.pass(2_000);
  assert.equal(fleet.nodes.get('b')!.replicaSize, keys.length);
  await fleet.settle(fleet.nodes.get('a')!.drain());
  fleet.kill('a');
  fleet.start('d', 'zone-1');
  await fleet.pass(5_000);
  assert.equal(describeMembers(fleet.nodes.get('d')!), 'b,c,d');
  assert.equal(fleet.nodes.get('d')!.replicaSize, keys.length);
  for (const key of keys) {
    assert.equal((await fleet.claim('d', key, `again-${key}`)).type, 'in-progress');
  }
});

test('a member that was started alone completes the change of its dead proposer', async () => {
  const fleet = await createFleet();
  const key = fleet.createKey();
  await fleet.claim('a', key, 'first');
  await fleet.changeOnly('b');
  fleet.kill('a');
  await fleet.pass(5_000);
  assert.equal((await fleet.claim('c', key, 'second')).type, 'in-progress');
  assert.equal((await fleet.claim('c', fleet.createKey(0, 1), 'third')).type, 'granted');
});

test('a planned stop that reaches nobody ends at its limit', async () => {
  const fleet = await createFleet();
  fleet.cut('a');
  const startedAt = fleet.clock.now();
  await fleet.settle(fleet.nodes.get('a')!.drain());
  assert.ok(fleet.clock.now() - startedAt <= DEFAULT_CLAIM_TIMING.drainMs + VIRTUAL_STEP_MS);
  assert.equal((await fleet.claim('b', fleet.createKey(), 'first')).type, 'granted');
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
  fleet.cut('b');
  fleet.cut('c');
  await fleet.pass(60_000);
  assert.equal(fleet.nodes.get('a')!.placement?.epoch, fleet.nodes.get('b')!.placement?.epoch);
  assert.equal((await fleet.claim('a', key, 'second')).type, 'in-progress');
  assert.equal((await fleet.claim('c', key, 'third')).type, 'in-progress');
  assert.equal((await fleet.claim('a', fleet.createKey(0, 1), 'fourth')).type, 'refused');
});

for (const fate of ['refused', 'lost-before', 'lost-after', 'late'] as const) {
  test(`the first placement survives a write that is ${fate}`, async () => {
    let writes = 0;
    const fleet = await createFleet(() => (writes++ === 0 ? fate : 'ok'));
    fleet.platform.deliverLate();
    await fleet.pass(5_000);
    const placements = [...fleet.nodes.values()].map((task) => JSON.stringify(task.placement));
    assert.equal(new Set(placements).size, 1);
    assert.equal((await fleet.claim('a', fleet.createKey(), 'first')).type, 'granted');
  });
}

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
  fleet.cut('c');
  assert.deepEqual(await charge('c', 3), Result.ok(1), 'one attempt without a majority');
  assert.ok((await charge('c', 3)).isErr);
});

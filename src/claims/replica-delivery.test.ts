import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PlacementRecord } from '../core/claim/placement.js';
import type { ReplicaReply, ReplicaRequest } from '../core/claim/replica-messages.js';
import { ManualClock } from '../kernel/clock.js';
import { DEFAULT_CLAIM_TIMING } from './claim-timing.js';
import type { GroupAccess } from './group-access.js';
import { ReplicaDelivery } from './replica-delivery.js';

const RELEASE = { type: 'release', key: 'k', attemptId: 'round-1' } as const;
const STEP_MS = 50;

/** Replicas that confirm as the test decides, and that record what they were sent. */
class Replicas {
  readonly clock = new ManualClock();
  readonly sent: string[] = [];
  record = createRecord(1);
  confirms: (nodeId: string, epoch: number) => boolean = () => true;
  readonly group: GroupAccess = this.createGroup();
  readonly delivery = new ReplicaDelivery({
    clock: this.clock,
    timing: DEFAULT_CLAIM_TIMING,
    groupOf: () => this.group,
  });

  async pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  private createGroup(): GroupAccess {
    const currentRecord = (): PlacementRecord => this.record;
    return {
      client: {
        query: (nodeId, request) => Promise.resolve(this.answer(nodeId, request)),
        queryAll: () => Promise.resolve(),
      },
      get placement() {
        return currentRecord();
      },
      observe: () => {},
    };
  }

  private answer(nodeId: string, request: ReplicaRequest): ReplicaReply {
    assert.ok(request.type === 'release');
    this.sent.push(`${nodeId}/${request.epoch}`);
    return this.confirms(nodeId, request.epoch) ? { type: 'done' } : { type: 'not-voting' };
  }
}

function createRecord(epoch: number): PlacementRecord {
  const members = ['a', 'b', 'c'].map((nodeId) => ({ nodeId, incarnation: 1 }));
  return { epoch, members, fresh: false, floorMs: 0 };
}

test('a confirmed message is sent once', async () => {
  const replicas = new Replicas();
  await replicas.delivery.deliver('k', RELEASE);
  await replicas.pass(5_000);
  assert.deepEqual(replicas.sent, ['a/1', 'b/1', 'c/1']);
  assert.equal(replicas.delivery.size, 0);
});

test('a message is retried for the member that did not confirm, however long that takes', async () => {
  const replicas = new Replicas();
  replicas.confirms = (nodeId) => nodeId !== 'b';
  await replicas.delivery.deliver('k', RELEASE);
  await replicas.pass(60_000);
  assert.ok(replicas.sent.length > 20, `${replicas.sent.length} sends`);
  assert.ok(replicas.sent.slice(3).every((each) => each === 'b/1'));
  replicas.confirms = () => true;
  await replicas.pass(3_000);
  assert.equal(replicas.delivery.size, 0);
});

test('an unconfirmed message is sent to all members of the next epoch', async () => {
  const replicas = new Replicas();
  replicas.confirms = (nodeId, epoch) => epoch === 2 || nodeId !== 'b';
  await replicas.delivery.deliver('k', RELEASE);
  replicas.record = createRecord(2);
  await replicas.pass(3_000);
  assert.deepEqual(replicas.sent.slice(3), ['a/2', 'b/2', 'c/2']);
  assert.equal(replicas.delivery.size, 0);
});

test('a message is dropped after the time in which keys expire', async () => {
  const replicas = new Replicas();
  replicas.confirms = () => false;
  await replicas.delivery.deliver('k', RELEASE);
  await replicas.pass(310_000);
  assert.equal(replicas.delivery.size, 0);
});

test('a planned stop waits for pending messages, within its time limit', async () => {
  const replicas = new Replicas();
  replicas.confirms = () => replicas.clock.now() >= 400;
  await replicas.delivery.deliver('k', RELEASE);
  let drained = false;
  void replicas.delivery.drain(10_000).then(() => (drained = true));
  await replicas.pass(300);
  assert.equal(drained, false);
  await replicas.pass(1_000);
  assert.equal(drained, true);
  replicas.confirms = () => false;
  await replicas.delivery.deliver('k', RELEASE);
  void replicas.delivery.drain(replicas.clock.now() + 500).then(() => (drained = false));
  await replicas.pass(600);
  assert.equal(drained, false);
});

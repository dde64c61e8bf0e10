/**
 * A key whose claimants have all given up must become free again, also when the epoch changes or
 * messages arrive late in the meantime.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ClaimReplica } from './claim-replica.js';
import { ClaimTable } from './claim-table.js';
import type { PlacementRecord } from './placement.js';
import type { ReplicaReply, ReplicaRequest } from './replica-messages.js';

const NODES = ['n0', 'n1', 'n2'];
const MEMBERS = NODES.map((nodeId) => ({ nodeId, incarnation: 1 }));
const FIRST: PlacementRecord = { epoch: 1, members: MEMBERS, fresh: true, floorMs: 0 };
const SECOND: PlacementRecord = { epoch: 2, members: MEMBERS, fresh: false, floorMs: 0 };
const KEY = 'tenant/service/key';
const PREPARE = { type: 'prepare', epoch: 1, ballot: { round: 1, nodeId: 'x' } } as const;

/** Three replicas of epoch 1, with the requests that the tests send. */
class Group {
  private readonly replicas = MEMBERS.map((member) => new ClaimReplica(member));

  constructor() {
    for (const replica of this.replicas) replica.observe(FIRST);
  }

  send(node: number, request: ReplicaRequest): ReplicaReply {
    return this.replicas[node]!.handle(request, 1_000);
  }

  claim(node: number, attemptId: string, epoch = 1): ReplicaReply {
    const subject = { key: KEY, issuedAtMs: 0, fingerprint: 'f', attemptId };
    return this.send(node, { type: 'claim', epoch, subject });
  }

  release(node: number, attemptId: string, epoch = 1): ReplicaReply {
    return this.send(node, { type: 'release', epoch, key: KEY, attemptId });
  }

  /** Seals all members and returns their merged tables. */
  seal(): ClaimTable {
    const merged = new ClaimTable();
    for (const node of NODES.keys()) {
      const reply = this.send(node, PREPARE);
      assert.ok(reply.type === 'promised');
      merged.merge(reply.memory.table);
    }
    return merged;
  }

  install(tables: ClaimTable): void {
    for (const node of NODES.keys()) {
      this.send(node, { type: 'install', record: SECOND, table: tables.snapshot() });
    }
  }
}

test('a sealed replica does not acknowledge a release: its tables are already transferred', () => {
  const group = new Group();
  group.claim(0, 'round-1');
  const tables = group.seal();
  assert.equal(group.release(0, 'round-1').type, 'not-voting');
  group.install(tables);
  assert.equal(group.claim(0, 'round-2', 2).type, 'held');
  for (const node of NODES.keys()) assert.equal(group.release(node, 'round-1', 2).type, 'done');
  for (const node of NODES.keys()) {
    assert.equal(group.claim(node, 'round-2', 2).type, 'granted');
  }
});

test('a release of an older epoch is not acknowledged by a member of the next one', () => {
  const group = new Group();
  group.install(group.seal());
  assert.equal(group.release(0, 'round-1', 1).type, 'not-voting');
});

test('a key that merged tables assign to two rounds is free once both have given up', () => {
  const group = new Group();
  group.claim(0, 'round-1');
  group.claim(1, 'round-2');
  group.install(group.seal());
  assert.equal(group.claim(2, 'round-3', 2).type, 'held');
  for (const node of NODES.keys()) group.release(node, 'round-1', 2);
  assert.deepEqual(group.claim(2, 'round-3', 2), { type: 'held', attemptId: 'round-2' });
  for (const node of NODES.keys()) group.release(node, 'round-2', 2);
  assert.equal(group.claim(2, 'round-3', 2).type, 'granted');
});

test('a claim that arrives after its own release is not granted', () => {
  const group = new Group();
  group.release(0, 'round-1');
  assert.equal(group.claim(0, 'round-1').type, 'not-voting');
  assert.equal(group.claim(0, 'round-2').type, 'granted');
});

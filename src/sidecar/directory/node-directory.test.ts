/** Tests the directory with a real link to another node; its timers run on a manual clock. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { waitUntil } from '../../../test/stand-ins/mesh.js';
import { ByteBudget } from '../../core/byte-budget.js';
import { UnfinishedBodies } from '../../core/holding/unfinished-bodies.js';
import { ManualClock } from '../../kernel/clock.js';
import { silentEventLog } from '../../kernel/event.js';
import type { NodeStatus } from '../link/link-messages.js';
import { LinkServer } from '../link/link-server.js';
import { expiredRecordGraceMs, NodeDirectory } from './node-directory.js';
import { encodeNodeRecord, keyOfNode, type NodeRecord } from './node-record.js';
import { silentReports } from '../../../test/support/silent-reports.js';

const STATUS: NodeStatus = { node: 'peer', service: 's', target: 'ready', rulesVersion: 1 };

const EXPIRED_RECORD_GRACE_MS = expiredRecordGraceMs(2);

let clock: ManualClock;
let server: LinkServer;
let directory: NodeDirectory;
let record: NodeRecord;
let ownRecordLosses: number;
let storeAvailable: boolean;
/** Status that the other node sends. */
let peerStatus: NodeStatus;

beforeEach(async () => {
  clock = new ManualClock();
  ownRecordLosses = 0;
  storeAvailable = true;
  peerStatus = STATUS;
  server = new LinkServer({
    limits: { connections: 100, heldBytes: 64 * 1024 * 1024 },
    reports: silentReports,
    bodies: new UnfinishedBodies(new ByteBudget(0)),
    clock,
    target: { dispatch: () => assert.fail('no call') },
    status: () => peerStatus,
    rulesDocument: () => undefined,
    quarantine: { currentUpdate: () => undefined, onUpdate: () => {} },
    rulesConfirmation: () => undefined,
    quota: { queryQuota: () => assert.fail('no quota query') },
    leftTargetOf: () => undefined,
    onRelayedLimit: () => {},
    onLocalTargetLeft: () => {},
    onPeerStatus: () => {},
    onRules: () => {},
  });
  const port = await server.listen('127.0.0.1', 0);
  record = {
    ...{ node: 'peer', address: `127.0.0.1:${port}`, zone: 'z', region: 'r', service: 's' },
    ...{ targetId: 'i-1', target: 'ready' },
  };
  directory = new NodeDirectory({
    ...{ node: 'own', zone: 'z', region: 'r', service: 'own-service' },
    clock,
    log: silentEventLog,
    localTarget: { dispatch: () => assert.fail('no call') },
    localQuota: { queryQuota: () => assert.fail('no quota query') },
    status: () => ({ ...STATUS, node: 'own' }),
    rulesDocument: () => undefined,
    quarantine: { currentUpdate: () => undefined, onUpdate: () => {} },
    onLocalTargetLeft: () => {},
    onServiceChanged: () => {},
    onPeerRules: () => {},
    onRulesDocument: () => {},
    onRulesConfirmation: () => {},
    isStoreAvailable: () => storeAvailable,
    onPeerUnresponsive: () => {},
    onOwnRecordLost: () => {
      ownRecordLosses += 1;
    },
  });
  directory.viewsOf('s');
  put();
  await waitUntil(() => isKnown() && directory.viewsOf('s')[0]!.eligible);
  // The link is open only after the greeting, which follows the connection.
  await waitUntil(() => directory.isReachable('peer'));
});

afterEach(() => {
  directory.close();
  server.close();
});

function put(): void {
  const value = encodeNodeRecord(record);
  directory.apply([{ type: 'put', key: keyOfNode('peer'), value, revision: 1 }]);
}

function removeRecord(node: string): void {
  directory.apply([{ type: 'removed', key: keyOfNode(node), revision: 2 }]);
}

function isKnown(): boolean {
  return directory.viewsOf('s').length === 1;
}

// Guards against links that a node of an earlier version closes on an unknown message, with the calls on them.
test('reports about admission are sent only to nodes that say that they take them', async () => {
  assert.equal(directory.admissionLinkTo('peer'), undefined);
  peerStatus = { ...STATUS, admission: true };
  server.announceStatus();
  await waitUntil(() => directory.admissionLinkTo('peer') !== undefined);
});

test('keeps a node for a while after its record expired, since the store may have been unavailable', () => {
  removeRecord('peer');
  clock.advance(EXPIRED_RECORD_GRACE_MS - 1);
  assert.equal(isKnown(), true);
});

test('keeps a node whose record is written again in time', () => {
  removeRecord('peer');
  clock.advance(EXPIRED_RECORD_GRACE_MS - 1);
  put();
  clock.advance(2 * EXPIRED_RECORD_GRACE_MS);
  assert.equal(isKnown(), true);
});

test('starts the whole grace period again each time a record expires', () => {
  removeRecord('peer');
  clock.advance(EXPIRED_RECORD_GRACE_MS - 1);
  put();
  removeRecord('peer');
  clock.advance(EXPIRED_RECORD_GRACE_MS - 1);
  assert.equal(isKnown(), true);
  clock.advance(1);
  assert.equal(isKnown(), false);
});

test('removes a node whose record is not written again, even though its link is open', () => {
  removeRecord('peer');
  clock.advance(EXPIRED_RECORD_GRACE_MS);
  assert.equal(isKnown(), false);
  put();
  assert.equal(isKnown(), true);
});

test('keeps a node for the rest of the grace period when its link closes soon after its record expired', async () => {
  removeRecord('peer');
  server.close();
  await waitUntil(() => !directory.isReachable('peer'));
  assert.equal(isKnown(), true);
  clock.advance(EXPIRED_RECORD_GRACE_MS);
  assert.equal(isKnown(), false);
});

test('removes no node while the store is unavailable, since rewritten records would not be received', () => {
  removeRecord('peer');
  storeAvailable = false;
  clock.advance(3 * EXPIRED_RECORD_GRACE_MS);
  assert.equal(isKnown(), true);
  storeAvailable = true;
  clock.advance(EXPIRED_RECORD_GRACE_MS);
  assert.equal(isKnown(), false);
});

test('treats a record that a listing lacks as expired', () => {
  directory.replaceAll([]);
  assert.equal(isKnown(), true);
  clock.advance(EXPIRED_RECORD_GRACE_MS);
  assert.equal(isKnown(), false);
});

test('reports the loss of the own record, by a change and by a listing', () => {
  removeRecord('own');
  assert.equal(ownRecordLosses, 1);
  directory.replaceAll([]);
  assert.equal(ownRecordLosses, 2);
  const value = encodeNodeRecord({ ...record, node: 'own' });
  directory.replaceAll([{ key: keyOfNode('own'), value, revision: 3 }]);
  assert.equal(ownRecordLosses, 2);
});

test('ignores an invalid record of another writer and keeps the valid ones', () => {
  for (const value of [
    '',
    '{',
    '[]',
    'null',
    '{"node":"peer"}',
    '7',
    '{"node":"peer","target":{}}',
  ]) {
    directory.apply([
      { type: 'put', key: keyOfNode('new'), value: Buffer.from(value), revision: 3 },
    ]);
    assert.equal(directory.viewsOf('s').length, 1);
  }
  const value = encodeNodeRecord({ ...record, node: 'other' });
  directory.apply([{ type: 'put', key: keyOfNode('new'), value, revision: 4 }]);
  assert.equal(directory.viewsOf('s').length, 1, 'a record under the key of another node');
});

test('treats a record that another writer has overwritten as expired until it is written again', () => {
  directory.apply([{ type: 'put', key: keyOfNode('peer'), value: Buffer.from('{'), revision: 3 }]);
  assert.equal(isKnown(), true);
  clock.advance(EXPIRED_RECORD_GRACE_MS);
  assert.equal(isKnown(), false);
  put();
  assert.equal(isKnown(), true);
});

test('reports the loss of the own record when another writer has overwritten it', () => {
  directory.apply([{ type: 'put', key: keyOfNode('own'), value: Buffer.from('x'), revision: 3 }]);
  assert.equal(ownRecordLosses, 1);
});

/** Puts records of a large service at addresses on which nothing listens. */
function putMany(count: number): void {
  const events = Array.from({ length: count }, (_, index) => {
    const node = `many-${index}`;
    const value = encodeNodeRecord({
      ...record,
      ...{ node, service: 'many', address: '127.0.0.1:1', zone: index % 2 === 0 ? 'z' : 'y' },
      targetSlots: 20,
    });
    return { type: 'put' as const, key: keyOfNode(node), value, revision: 3 };
  });
  directory.apply(events);
}

const SUBSET_SIZE = 14;

test('uses a subset of a large service; unreachable targets stay in it and get substitutes', async () => {
  putMany(60);
  const first = directory.viewsOf('many');
  assert.equal(first.length, SUBSET_SIZE);
  assert.equal(first.filter(({ zone }) => zone === 'z').length, 8);
  await waitUntil(() => directory.viewsOf('many').length > SUBSET_SIZE);
  const ids = new Set(directory.viewsOf('many').map(({ id }) => id));
  assert.ok(first.every(({ id }) => ids.has(id)));
});

test('widens the subset when more attempts are in progress than it has targets', () => {
  putMany(60);
  assert.equal(directory.viewsOf('many').length, SUBSET_SIZE);
  assert.equal(directory.widen('many', SUBSET_SIZE), false);
  assert.equal(directory.widen('many', SUBSET_SIZE + 1), true);
  assert.equal(directory.viewsOf('many').length, 2 * SUBSET_SIZE);
});

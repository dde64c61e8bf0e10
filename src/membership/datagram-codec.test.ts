import assert from 'node:assert/strict';
import { test } from 'node:test';
import { serialize } from 'bson';
import type { MemberFacts } from '../core/member.js';
import { measureUpdate, type MemberUpdate } from '../core/membership/member-update.js';
import type { MembershipMessage } from '../core/membership/membership-message.js';
import { DatagramCodec, MAX_DATAGRAM_BYTES } from './datagram-codec.js';

const codec = new DatagramCodec('a key of the codec tests');

const FACTS: MemberFacts = {
  nodeId: 'node-1',
  incarnation: 1_764_000_000_000,
  sequence: 3,
  zone: 'zone-a',
  region: 'region-a',
  peerAddress: '10.0.0.1:7000',
  entryAddress: '10.0.0.1:8000',
  adminAddress: '10.0.0.1:9000',
  fronts: ['target-1', 'target-2'],
  leavingTargets: ['target-3'],
  configVersion: 77,
  ready: true,
};

const POSITION = { nodeId: 'node-2', incarnation: 1_764_000_000_001, sequence: 4 };
const UPDATES: readonly MemberUpdate[] = [
  { type: 'facts', facts: FACTS, leaving: false },
  { type: 'facts', facts: { ...FACTS, fronts: Array(200).fill('t-1') as string[] }, leaving: true },
  { type: 'notice', ...POSITION },
  { type: 'suspect', ...POSITION, from: 'node-3' },
  { type: 'failed', ...POSITION },
  { type: 'version', nodeId: 'node-2', incarnation: 1_764_000_000_001, configVersion: 2 ** 40 },
];

const HEADER = { from: 'node-1', incarnation: 1_764_000_000_000, configVersion: 5, stateHash: 6 };
const PING: MembershipMessage = {
  type: 'ping',
  ...HEADER,
  versions: { view: 4_000_000_000, version: 5, bits: Buffer.from([1, 2, 3]) },
  probe: 9,
  to: 'node-2',
  updates: [UPDATES[0]!],
};
const MESSAGES: readonly MembershipMessage[] = [
  PING,
  { type: 'ack', ...HEADER, probe: 9, subject: 'node-2', factsWanted: true, updates: [] },
  { type: 'nack', ...HEADER, probe: 9, updates: [] },
  { type: 'gossip', ...HEADER, updates: UPDATES.filter((_update, index) => index !== 1) },
  {
    type: 'ping-request',
    ...HEADER,
    probe: 9,
    subject: 'node-2',
    address: '10.0.0.2:7000',
    updates: [],
  },
];

for (const message of MESSAGES) {
  test(`a ${message.type} message is decoded as it was encoded`, () => {
    assert.deepEqual(codec.decode(codec.encode(message)), message);
  });
}

for (const update of UPDATES) {
  test(`the size of a ${update.type} update is not underestimated`, () => {
    const encode = (updates: readonly MemberUpdate[]): number =>
      codec.encode({ type: 'gossip', ...HEADER, updates }).length;
    const size = encode([update]) - encode([]);
    assert.ok(size <= measureUpdate(update), `${size} bytes, bound ${measureUpdate(update)}`);
  });
}

/** Encodes any document with a valid signature. */
function sign(document: Record<string, unknown>): Buffer {
  const signer = codec as unknown as { sign(body: Uint8Array): Buffer };
  const body = serialize(document);
  return Buffer.concat([signer.sign(body), body]);
}

const WIRE = { k: 0, f: 'node-1', i: 1, v: 1, h: 1, u: [], p: 1, s: 'node-2' };
const MALFORMED: Record<string, Buffer> = {
  'an empty datagram': Buffer.alloc(0),
  'a tag without a document': Buffer.alloc(16),
  'zero bytes': Buffer.alloc(100),
  'a datagram above the limit': sign({ ...WIRE, x: 'x'.repeat(MAX_DATAGRAM_BYTES) }),
  'a datagram signed with another key': new DatagramCodec('another shared key').encode(PING),
  'a truncated datagram': codec.encode(PING).subarray(0, -1),
  'a datagram with a changed byte': Buffer.from(codec.encode(PING)).fill(0xff, 40, 41),
  'an unknown message type': sign({ ...WIRE, k: 9 }),
  'an empty sender': sign({ ...WIRE, f: '' }),
  'a sender that is not a string': sign({ ...WIRE, f: 7 }),
  'a sender with non-ASCII characters': sign({ ...WIRE, f: 'knoten-ä' }),
  'a negative incarnation': sign({ ...WIRE, i: -1 }),
  'a fractional probe number': sign({ ...WIRE, p: 1.5 }),
  'updates that are not an array': sign({ ...WIRE, u: {} }),
  'an update that is not an array': sign({ ...WIRE, u: [{}] }),
  'an update of an unknown type': sign({ ...WIRE, u: [[9, 'node-2', 1, 1]] }),
  'an update without a node id': sign({ ...WIRE, u: [[3]] }),
  'facts without zone and addresses': sign({ ...WIRE, u: [[0, 'node-2', 1, 1]] }),
  'version bits above the limit': sign({ ...WIRE, d: [1, 1, Buffer.alloc(161)] }),
};

test('the document that the malformed ones are derived from is well-formed', () => {
  assert.notEqual(codec.decode(sign(WIRE)), undefined);
});

for (const [name, datagram] of Object.entries(MALFORMED)) {
  test(`${name} is rejected`, () => {
    assert.equal(codec.decode(datagram), undefined);
  });
}

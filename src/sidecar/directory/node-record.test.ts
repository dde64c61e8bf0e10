import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeNodeRecord, encodeNodeRecord, keyOfNode, type NodeRecord } from './node-record.js';

const RECORD: NodeRecord = {
  node: 'n',
  address: '10.0.0.1:7620',
  zone: 'z',
  region: 'r',
  service: 's',
  targetId: 'i-1',
  targetStartedAt: 1_796_000_000_000,
  target: 'ready',
};
const KEY = keyOfNode('n');

test('decodes a record as it was encoded', () => {
  assert.deepEqual(decodeNodeRecord(KEY, encodeNodeRecord(RECORD)), RECORD);
});

test('drops what another writer has added to a record', () => {
  const value = Buffer.from(JSON.stringify({ ...RECORD, extra: 'x'.repeat(100_000) }));
  assert.deepEqual(decodeNodeRecord(KEY, value), RECORD);
});

const REJECTED: readonly Record<string, unknown>[] = [
  { address: 7 },
  { address: '10.0.0.1' },
  { address: '10.0.0.1:99999' },
  { address: 'somewhere:80' },
  { address: '10.0.0.999:80' },
  { address: '10.0.0.1:0' },
  { targetSlots: -1 },
  { storeEra: -1 },
  { zone: 'z'.repeat(201) },
  { service: '' },
  { service: undefined },
  { target: 'asleep' },
  { targetStartedAt: '5' },
  { targetStartedAt: 1.5 },
  { node: 'another' },
];

for (const changes of REJECTED) {
  test(`rejects an invalid record of another writer: ${JSON.stringify(changes).slice(0, 60)}`, () => {
    const value = Buffer.from(JSON.stringify({ ...RECORD, ...changes }));
    assert.equal(decodeNodeRecord(KEY, value), undefined);
  });
}

test('rejects a number beyond the range', () => {
  const text = JSON.stringify({ ...RECORD, targetSlots: 5 }).replace(
    '"targetSlots":5',
    '"targetSlots":1e400',
  );
  assert.equal(decodeNodeRecord(KEY, Buffer.from(text)), undefined);
});

test('never throws when decoding, whatever the bytes are', () => {
  const bytes = fc.oneof(
    fc.uint8Array(),
    fc.json().map((text) => Buffer.from(text)),
    fc.constant(Buffer.from('['.repeat(100_000))),
  );
  fc.assert(
    fc.property(bytes, (value) => decodeNodeRecord(KEY, Buffer.from(value)) === undefined),
    { seed: 0x5eed, numRuns: 500 },
  );
});

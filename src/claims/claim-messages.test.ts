import assert from 'node:assert/strict';
import { test } from 'node:test';
import { deserialize, serialize } from 'bson';
import { ClaimTable } from '../core/claim/claim-table.js';
import { ResultCode } from '../core/result-code.js';
import { validateReplicaCall } from './claim-messages.js';

const SUBJECT = { key: 'k', issuedAtMs: 1, fingerprint: 'f', attemptId: 'a' };
const RECORD = {
  epoch: 2,
  members: [{ nodeId: 'n', incarnation: 7_225_344_000_000_001 }],
  fresh: false,
  floorMs: 1_764_000_000_000,
};

function createTable(): ClaimTable {
  const table = new ClaimTable();
  table.finish(SUBJECT, { status: 200, headers: [['a', 'b']], body: new Uint8Array([0, 255]) });
  table.budgets.charge({ key: 'k', chargeId: 'c', wanted: 1, bound: 2 }, 0);
  return table;
}

test('requests survive the codec unchanged', () => {
  const requests = [
    { type: 'claim', epoch: 1, subject: SUBJECT },
    { type: 'prepare', epoch: 1, ballot: { round: 1, nodeId: 'n' } },
    { type: 'install', record: RECORD, table: createTable().snapshot() },
  ];
  for (const request of requests) {
    const received: unknown = deserialize(serialize({ group: 0, request }), {
      promoteBuffers: true,
    });
    const checked = validateReplicaCall(received);
    assert.ok(checked.isOk, request.type);
    assert.equal(JSON.stringify(checked.value), JSON.stringify(received));
  }
});

test('malformed requests are refused with FrameMalformed', () => {
  const cases: readonly unknown[] = [
    undefined,
    {},
    { type: 'unknown' },
    { type: 'claim', epoch: -1, subject: SUBJECT },
    { type: 'claim', epoch: 1, subject: { ...SUBJECT, key: 'k'.repeat(2_000) } },
    { type: 'charge', epoch: 1, charge: { key: 'k', chargeId: 'c', wanted: 0, bound: 1 } },
    { type: 'charge', epoch: 1, charge: { key: 'k', chargeId: 'c', wanted: 1, bound: 1e9 } },
    { type: 'finish', subject: SUBJECT, answer: { status: 200, headers: [], body: 'text' } },
    { type: 'install', record: { ...RECORD, members: [] }, table: { claims: [], budgets: [] } },
  ];
  for (const body of cases) {
    const checked = validateReplicaCall({ group: 0, request: body });
    assert.ok(checked.isErr, JSON.stringify(body));
    assert.equal(checked.error.code, ResultCode.FrameMalformed);
  }
});

test('groups beyond the largest number are refused', () => {
  const request = { type: 'status' };
  assert.ok(validateReplicaCall({ group: 63, request }).isOk);
  for (const group of [-1, 64, 1.5, undefined]) {
    assert.ok(validateReplicaCall({ group, request }).isErr, String(group));
  }
});

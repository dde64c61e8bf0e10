import assert from 'node:assert/strict';
import { test } from 'node:test';
import { serialize } from 'bson';
import { ClaimTable } from '../core/claim/claim-table.js';
import { ManualClock } from '../kernel/clock.js';
import { joinTables, splitTable } from './table-pages.js';
import { TableTransfers } from './table-transfers.js';

const PAGE_BYTES = 10_000;

function createTable(entries: number): ClaimTable {
  const table = new ClaimTable();
  for (let index = 0; index < entries; index += 1) {
    const subject = { key: `k${index}é`, issuedAtMs: 1, fingerprint: 'f', attemptId: `a${index}` };
    const body = Buffer.alloc(index * 10, 1);
    if (index % 2 === 0) table.hold(subject);
    else table.finish(subject, { status: 200, headers: [['x', 'y'.repeat(index)]], body });
    table.budgets.charge({ key: `b${index}`, chargeId: 'c', wanted: 1, bound: index % 99 }, 0);
  }
  return table;
}

for (const entries of [0, 1, 300]) {
  test(`a table of ${entries} entries is restored from its pages, none above the limit`, () => {
    const snapshot = createTable(entries).snapshot();
    const pages = splitTable(snapshot, PAGE_BYTES);
    assert.deepEqual(joinTables(pages), snapshot);
    for (const page of pages) {
      assert.ok(serialize(page).byteLength <= PAGE_BYTES, `${serialize(page).byteLength} bytes`);
    }
  });
}

test('an entry that is larger than a page has a page of its own', () => {
  const snapshot = createTable(4).snapshot();
  assert.deepEqual(joinTables(splitTable(snapshot, 1)), snapshot);
  assert.equal(splitTable(snapshot, 1).length, 8);
});

test('a transfer is taken whole or not at all, and is dropped when too old or above the limit', () => {
  const clock = new ManualClock();
  const transfers = new TableTransfers(clock);
  const table = createTable(1).snapshot();
  transfers.put('whole', 0, table);
  transfers.put('whole', 1, table);
  assert.equal(transfers.take({ transferId: 'whole', pages: 2 })?.length, 2);
  assert.equal(transfers.take({ transferId: 'whole', pages: 2 }), undefined);
  transfers.put('part', 1, table);
  assert.equal(transfers.take({ transferId: 'part', pages: 2 }), undefined);
  for (let index = 0; index < 20; index += 1) transfers.put(`t${index}`, 0, table);
  assert.equal(transfers.size, 8);
  assert.equal(transfers.find('t0', 0), undefined);
  clock.advance(60_000);
  transfers.put('new', 0, table);
  assert.equal(transfers.size, 1);
});

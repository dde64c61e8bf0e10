/**
 * Measures the size of a claim and of an attempt budget in a replica's memory and in a transfer.
 * Usage: node --expose-gc scripts/measure-claim-memory.mjs (after a build).
 */
import { serialize } from 'bson';
import { ClaimTable } from '../dist/src/core/claim/claim-table.js';

const ENTRIES = 20_000;

function heapBytes() {
  globalThis.gc();
  return process.memoryUsage().heapUsed;
}

/** Fills a table and prints bytes per entry. */
function measure(name, fill) {
  const before = heapBytes();
  const table = new ClaimTable();
  for (let index = 0; index < ENTRIES; index += 1) fill(table, index);
  const heap = (heapBytes() - before) / ENTRIES;
  const wire = serialize(table.snapshot()).byteLength / ENTRIES;
  console.log(`${name}: ${heap.toFixed(0)} bytes in memory, ${wire.toFixed(0)} in a transfer`);
}

function createKey(index) {
  return `roteiro/promise-ledger/01890a5d-ac96-7000-8000-${String(index).padStart(12, '0')}`;
}

measure('claim', (table, index) => {
  const fingerprint = `${String(index).padStart(8, '0')}-sha256-digest-in-base64url-43chars`;
  const attemptId = `node-recife-1#${1_764_000_000_000 + index}.${index}`;
  table.hold({ key: createKey(index), issuedAtMs: 1_764_000_000_000, fingerprint, attemptId });
});
measure('budget of 3 attempts', (table, index) => {
  const chargeId = `node-recife-1#7225344000000000.${index}`;
  table.budgets.charge({ key: createKey(index), chargeId, wanted: 1, bound: 3 }, 0);
});

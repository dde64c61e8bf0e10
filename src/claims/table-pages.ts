/** Splits tables into pages of bounded size, so that a full table needs no large frame. */
import type { BudgetEntry } from '../core/claim/attempt-budgets.js';
import type { ClaimEntry, TableSnapshot } from '../core/claim/claim-table.js';

/** Largest page, in bytes as estimated here; a single entry may be larger (an answer of 64 KB). */
export const DEFAULT_PAGE_BYTES = 262_144;

/** Bytes counted per entry for field names, numbers and its place in an array. */
const ENTRY_OVERHEAD_BYTES = 192;

/** Bytes counted per text for its length and its field name. */
const TEXT_OVERHEAD_BYTES = 16;

function sizeOfTexts(texts: readonly string[]): number {
  return texts.reduce((sum, text) => sum + Buffer.byteLength(text) + TEXT_OVERHEAD_BYTES, 0);
}

function sizeOfClaim(entry: ClaimEntry): number {
  const { key, fingerprint, attemptId, rivals = [], answer } = entry;
  const texts = [key, fingerprint, attemptId, ...rivals];
  if (answer === undefined) return ENTRY_OVERHEAD_BYTES + sizeOfTexts(texts);
  const fields = sizeOfTexts(answer.headers.flat());
  return ENTRY_OVERHEAD_BYTES * 2 + sizeOfTexts(texts) + fields + answer.body.byteLength;
}

function sizeOfBudget(entry: BudgetEntry): number {
  return ENTRY_OVERHEAD_BYTES + sizeOfTexts([entry.key, ...entry.slots]);
}

/** Splits entries into runs of at most `maxBytes`, each with at least one entry. */
function splitEntries<T>(
  entries: readonly T[],
  sizeOf: (entry: T) => number,
  maxBytes: number,
): T[][] {
  const runs: T[][] = [];
  let bytes = Number.POSITIVE_INFINITY;
  for (const entry of entries) {
    const size = sizeOf(entry);
    if (bytes + size > maxBytes) {
      runs.push([]);
      bytes = 0;
    }
    runs.at(-1)!.push(entry);
    bytes += size;
  }
  return runs;
}

/** Splits a table into pages; at least one. */
export function splitTable(
  { claims, budgets }: TableSnapshot,
  maxBytes = DEFAULT_PAGE_BYTES,
): readonly TableSnapshot[] {
  const pages: TableSnapshot[] = [
    ...splitEntries(claims, sizeOfClaim, maxBytes).map((run) => ({ claims: run, budgets: [] })),
    ...splitEntries(budgets, sizeOfBudget, maxBytes).map((run) => ({ claims: [], budgets: run })),
  ];
  return pages.length === 0 ? [{ claims: [], budgets: [] }] : pages;
}

/** Joins the pages of one table. */
export function joinTables(pages: readonly TableSnapshot[]): TableSnapshot {
  return {
    claims: pages.flatMap((page) => page.claims),
    budgets: pages.flatMap((page) => page.budgets),
  };
}

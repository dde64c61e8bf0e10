/**
 * Attempt budgets of request ids. A budget of n attempts is n write-once slots; a charge takes
 * free slots, and an attempt is granted when a majority of replicas gave the same slot to it.
 */
import { BUDGET_RETENTION_MS, MAX_BUDGETS } from './claim-limits.js';

/** Value of a free slot. */
const FREE = '';

/** Value of a slot that recovered tables assign to two charges: no charge gets it. */
const CONFLICT = '!';

/** Slots of one request id. */
export interface BudgetEntry {
  /** Tenant and request id. */
  readonly key: string;
  /** Charge that holds each slot; empty when free. */
  readonly slots: readonly string[];
  /** Time of the first charge, in Unix milliseconds of the replica. */
  readonly createdAtMs: number;
}

/** A charge as a replica sees it. */
export interface BudgetCharge {
  readonly key: string;
  /** Unique per charge; a repeated message gets the same slots. */
  readonly chargeId: string;
  readonly wanted: number;
  /** Number of slots of the request id; the first charge sets it. */
  readonly bound: number;
}

function mergeSlot(left: string, right: string): string {
  if (left === right || right === FREE) return left;
  return left === FREE ? right : CONFLICT;
}

function mergeBudgets(left: BudgetEntry, right: BudgetEntry): BudgetEntry {
  const length = Math.min(left.slots.length, right.slots.length);
  const slots = left.slots
    .slice(0, length)
    .map((slot, index) => mergeSlot(slot, right.slots[index] ?? FREE));
  return { ...left, slots, createdAtMs: Math.max(left.createdAtMs, right.createdAtMs) };
}

/** The budgets of one replica. */
export class AttemptBudgets {
  private readonly entries = new Map<string, BudgetEntry>();

  constructor(private readonly maxBudgets = MAX_BUDGETS) {}

  get size(): number {
    return this.entries.size;
  }

  /**
   * Takes free slots for a charge.
   *
   * @returns indexes of the slots that the charge holds now, or `undefined` when the table is full
   */
  charge(charge: BudgetCharge, wallNowMs: number): readonly number[] | undefined {
    const known = this.entries.get(charge.key);
    if (known === undefined && this.entries.size >= this.maxBudgets) return undefined;
    const slots = known?.slots.slice() ?? new Array<string>(charge.bound).fill(FREE);
    const held: number[] = [];
    slots.forEach((holder, index) => {
      if (index >= charge.bound || held.length >= charge.wanted) return;
      if (holder === charge.chargeId || holder === FREE) held.push(index);
    });
    for (const index of held) slots[index] = charge.chargeId;
    const createdAtMs = known?.createdAtMs ?? wallNowMs;
    this.entries.set(charge.key, { key: charge.key, slots, createdAtMs });
    return held;
  }

  /** Frees slots that the charge holds but does not use. */
  release(key: string, chargeId: string, unused: readonly number[]): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    const slots = entry.slots.map((holder, index) =>
      holder === chargeId && unused.includes(index) ? FREE : holder,
    );
    this.entries.set(key, { ...entry, slots });
  }

  expire(wallNowMs: number): void {
    for (const [key, entry] of this.entries) {
      if (wallNowMs - entry.createdAtMs > BUDGET_RETENTION_MS) this.entries.delete(key);
    }
  }

  snapshot(): readonly BudgetEntry[] {
    return [...this.entries.values()];
  }

  merge(budgets: readonly BudgetEntry[]): void {
    for (const incoming of budgets) {
      const known = this.entries.get(incoming.key);
      this.entries.set(
        incoming.key,
        known === undefined ? incoming : mergeBudgets(known, incoming),
      );
    }
  }

  clear(): void {
    this.entries.clear();
  }
}

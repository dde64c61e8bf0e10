/** Claims and attempt budgets that one replica keeps in memory, bounded by count and by age. */
import type { HttpAnswer } from '../http-message.js';
import { AnswerStore } from './answer-store.js';
import { AttemptBudgets, type BudgetEntry } from './attempt-budgets.js';
import { KEY_HORIZON_MS, MAX_CLAIMS, RETENTION_MARGIN_MS } from './claim-limits.js';

/**
 * State of one key: `held` by an attempt that may be dispatched, `finished` after its dispatch,
 * `conflict` when merged tables name several attempts: no attempt gets the key until all of them
 * but one have released it.
 */
export type ClaimPhase = 'held' | 'finished' | 'conflict';

/** Maximum number of attempts that a key names; with more, no attempt gets it before it expires. */
const MAX_HOLDERS = 9;

/** Stands for more attempts than are recorded; no attempt has this id, so it is never released. */
const UNKNOWN_HOLDER = '';

/** What identifies a claim. */
export interface ClaimSubject {
  /** Tenant, service and Idempotency-Key. */
  readonly key: string;
  /** Issue time of the key, Unix milliseconds. */
  readonly issuedAtMs: number;
  /** Digest of the request. */
  readonly fingerprint: string;
  /** The attempt that claims. */
  readonly attemptId: string;
}

/** One key in a replica's table. */
export interface ClaimEntry extends ClaimSubject {
  readonly phase: ClaimPhase;
  /** In a conflict: the attempts besides `attemptId` that may have been dispatched. */
  readonly rivals?: readonly string[];
  /** The answer of a finished attempt, when it was kept. */
  readonly answer?: HttpAnswer;
}

/** A copy of a replica's tables, for recovery and for transfer to the next epoch. */
export interface TableSnapshot {
  readonly claims: readonly ClaimEntry[];
  readonly budgets: readonly BudgetEntry[];
}

/** Merges the entries of two replicas for a key. */
function mergeEntries(left: ClaimEntry, right: ClaimEntry): ClaimEntry {
  if (left.phase === 'finished')
    return left.answer === undefined ? preferFinished(right, left) : left;
  if (right.phase === 'finished') return right;
  return withHolders(left, [...new Set([...holdersOf(left), ...holdersOf(right)])]);
}

/** Attempts that, according to this entry, may have been dispatched. */
function holdersOf(entry: ClaimEntry): readonly string[] {
  return [entry.attemptId, ...(entry.rivals ?? [])];
}

/** The entry with its holders replaced; `holders` is not empty. */
function withHolders(entry: ClaimEntry, holders: readonly string[]): ClaimEntry {
  const { key, issuedAtMs, fingerprint } = entry;
  const [attemptId = '', ...rivals] = holders.length > MAX_HOLDERS ? [UNKNOWN_HOLDER] : holders;
  const subject = { key, issuedAtMs, fingerprint, attemptId };
  if (rivals.length === 0 && attemptId !== UNKNOWN_HOLDER) return { ...subject, phase: 'held' };
  return { ...subject, phase: 'conflict', rivals };
}

function preferFinished(candidate: ClaimEntry, otherwise: ClaimEntry): ClaimEntry {
  return candidate.phase === 'finished' ? candidate : otherwise;
}

/** Whether a key is so old that no replica accepts it any longer. */
function isPastRetention(issuedAtMs: number, wallNowMs: number): boolean {
  return wallNowMs - issuedAtMs > KEY_HORIZON_MS + RETENTION_MARGIN_MS;
}

/** The table. All methods are deterministic; time is an argument. */
export class ClaimTable {
  readonly budgets = new AttemptBudgets();
  private readonly claims = new Map<string, ClaimEntry>();
  private readonly answers = new AnswerStore();

  constructor(private readonly maxClaims = MAX_CLAIMS) {}

  /** Number of claims. */
  get size(): number {
    return this.claims.size;
  }

  /** Finds a key, with its answer. */
  find(key: string): ClaimEntry | undefined {
    const entry = this.claims.get(key);
    if (entry === undefined) return undefined;
    const answer = this.answers.find(key);
    return answer === undefined ? entry : { ...entry, answer };
  }

  /** Grants a free key to an attempt. Returns false when the table is full. */
  hold(subject: ClaimSubject): boolean {
    if (this.claims.size >= this.maxClaims) return false;
    const { key, issuedAtMs, fingerprint, attemptId } = subject;
    this.claims.set(key, { key, issuedAtMs, fingerprint, attemptId, phase: 'held' });
    return true;
  }

  /**
   * Removes an attempt from the holders of a key; a key without holders is free.
   *
   * @returns whether the attempt was a holder of the key
   */
  release(key: string, attemptId: string): boolean {
    const entry = this.claims.get(key);
    if (entry === undefined || entry.phase === 'finished') return false;
    const holders = holdersOf(entry);
    const left = holders.filter((holder) => holder !== attemptId);
    if (left.length === holders.length) return false;
    if (left.length === 0) this.claims.delete(key);
    else this.claims.set(key, withHolders(entry, left));
    return true;
  }

  /** Records that the attempt was dispatched and has ended; overrides every other holder. */
  finish(subject: ClaimSubject, answer: HttpAnswer | undefined): void {
    const { key, issuedAtMs, fingerprint, attemptId } = subject;
    const known = this.claims.get(key);
    if (known === undefined && this.claims.size >= this.maxClaims) return;
    if (known?.phase === 'finished' && known.attemptId !== attemptId) return;
    this.claims.set(key, { key, issuedAtMs, fingerprint, attemptId, phase: 'finished' });
    if (answer !== undefined) this.answers.add(key, answer);
  }

  /** Discards expired claims, answers and budgets. */
  expire(wallNowMs: number): void {
    for (const [key, entry] of this.claims) {
      if (!isPastRetention(entry.issuedAtMs, wallNowMs)) continue;
      this.claims.delete(key);
      this.answers.delete(key);
    }
    this.budgets.expire(wallNowMs);
  }

  /** Copies the table. */
  snapshot(): TableSnapshot {
    const claims = [...this.claims.keys()].map((key) => this.find(key)!);
    return { claims, budgets: this.budgets.snapshot() };
  }

  /** Merges a copy of another replica's table, even beyond the bound on claims. */
  merge(snapshot: TableSnapshot): void {
    for (const incoming of snapshot.claims) {
      const known = this.find(incoming.key);
      const merged = known === undefined ? incoming : mergeEntries(known, incoming);
      const { answer, ...entry } = merged;
      this.claims.set(entry.key, entry);
      if (answer !== undefined) this.answers.add(entry.key, answer);
    }
    this.budgets.merge(snapshot.budgets);
  }

  clear(): void {
    this.claims.clear();
    this.answers.clear();
    this.budgets.clear();
  }
}

/** Checks the journals of both ends of a run against what must always hold. */
import type { KindRules, Rules, ServiceRules } from '../config/rules.js';
import type { BackendJournal, JournalEntry } from '../stand-ins/backend/effects-journal.js';
import type { RequestRecord } from '../stand-ins/callers/caller-journal.js';

/** Figures of one kind over both journals. */
export interface KindFigures {
  readonly kind: string;
  readonly requests: number;
  /** Attempts at back ends on the whole chain, over the requests. */
  readonly attempts: number;
  readonly maxAttempts: number;
}

/** What the journals say. */
export interface GuaranteeReport {
  readonly sent: number;
  readonly complete: number;
  /** Non-idempotent requests that took effect more than once at a service. */
  readonly doubled: number;
  /** Answers to another request, or damaged ones, at the callers or between services. */
  readonly wrongAnswer: number;
  /** Requests told `not-run` in every try that a back end had begun. */
  readonly notRunButRan: number;
  /** Complete answers without an effect in any journal. */
  readonly completeWithoutEffect: number;
  readonly maxAttempts: number;
  /** Requests with more attempts on the whole chain than their kind allows. */
  readonly aboveBound: number;
  /** Tries whose connection ended before the answer was complete. */
  readonly cut: number;
  readonly kinds: readonly KindFigures[];
  /** One line for each of the first violations. */
  readonly violations: readonly string[];
}

/** What is checked. */
export interface GuaranteeInput {
  readonly rules: Rules;
  readonly records: readonly RequestRecord[];
  readonly journals: readonly BackendJournal[];
  /** Whether a back end was killed and its journal lost; effects may then be missing. */
  readonly journalsIncomplete?: boolean;
}

const LISTED_VIOLATIONS = 20;

/** Entry of a back end with the rules that it belongs to. */
interface LocatedEntry {
  readonly service: ServiceRules;
  readonly kind: KindRules | undefined;
  readonly entry: JournalEntry;
}

/** Whether nothing was broken. */
export function holds(report: GuaranteeReport): boolean {
  return report.violations.length === 0;
}

/** Checks both journals. */
export function checkGuarantees(input: GuaranteeInput): GuaranteeReport {
  const { rules, records, journals } = input;
  const byRequest = indexEntries(rules, journals);
  const violations: string[] = [];
  const kinds = new Map<string, { requests: number; attempts: number; maxAttempts: number }>();
  const totals = { doubled: 0, wrong: 0, notRunButRan: 0, withoutEffect: 0, aboveBound: 0 };
  const note = (record: RequestRecord, what: string): void => {
    violations.push(`${record.kind} ${record.request}: ${what}`);
  };

  for (const record of records) {
    const entries = byRequest.get(record.request) ?? [];
    const attempts = sum(entries.map(({ entry }) => entry.received));
    const figures = kinds.get(record.kind) ?? { requests: 0, attempts: 0, maxAttempts: 0 };
    figures.requests += 1;
    figures.attempts += attempts;
    figures.maxAttempts = Math.max(figures.maxAttempts, attempts);
    kinds.set(record.kind, figures);

    const bound = findBound(rules, record.kind);
    if (attempts > bound) {
      totals.aboveBound += 1;
      note(record, `${attempts} attempts, ${bound} allowed`);
    }
    if (record.verdict === 'wrong') {
      totals.wrong += 1;
      note(record, 'an answer that is not its own');
    }
    const begun = sum(entries.map(({ entry }) => entry.begunAt.length));
    if (record.toldNotRun && begun > 0) {
      totals.notRunButRan += 1;
      note(record, `told not-run, begun ${begun} times`);
    }
    const effects = sum(entries.map(({ entry }) => entry.effectAt.length));
    if (record.verdict === 'complete' && effects === 0 && input.journalsIncomplete !== true) {
      totals.withoutEffect += 1;
      note(record, 'complete, but no back end knows it');
    }
  }
  for (const [request, entries] of byRequest) {
    for (const [place, count] of countEffects(entries)) {
      if (count < 2) continue;
      totals.doubled += 1;
      violations.push(`${request}: ${count} effects at ${place}`);
    }
  }
  const wrongBelow = sum(journals.map(({ counters }) => counters.wrongAnswersBelow));
  if (wrongBelow > 0) violations.push(`${wrongBelow} answers between services were not their own`);

  return {
    sent: records.length,
    complete: records.filter(({ verdict }) => verdict === 'complete').length,
    doubled: totals.doubled,
    wrongAnswer: totals.wrong + wrongBelow,
    notRunButRan: totals.notRunButRan,
    completeWithoutEffect: totals.withoutEffect,
    maxAttempts: Math.max(0, ...[...kinds.values()].map(({ maxAttempts }) => maxAttempts)),
    aboveBound: totals.aboveBound,
    cut: sum(records.map(({ tries }) => tries.filter(({ ended }) => ended === 'cut').length)),
    kinds: [...kinds].map(([kind, figures]) => ({ kind, ...figures })),
    violations: violations.slice(0, LISTED_VIOLATIONS),
  };
}

function indexEntries(
  rules: Rules,
  journals: readonly BackendJournal[],
): Map<string, LocatedEntry[]> {
  const byRequest = new Map<string, LocatedEntry[]>();
  for (const journal of journals) {
    const service = rules.services.find(({ name }) => name === journal.service);
    if (service === undefined) continue;
    for (const entry of journal.entries) {
      const located = { service, kind: findKind(service, entry), entry };
      const known = byRequest.get(entry.request);
      if (known === undefined) byRequest.set(entry.request, [located]);
      else known.push(located);
    }
  }
  return byRequest;
}

function findKind(service: ServiceRules, entry: JournalEntry): KindRules | undefined {
  return service.kinds.find(
    ({ match }) =>
      (match.method ?? entry.method) === entry.method && entry.path.startsWith(match.pathPrefix),
  );
}

function findBound(rules: Rules, kindName: string): number {
  const kinds = rules.services.flatMap(({ kinds: all }) => all);
  return kinds.find(({ name }) => name === kindName)?.attempts ?? 0;
}

/** Effects of a request's non-idempotent calls by service and kind, over all targets. */
function countEffects(entries: readonly LocatedEntry[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { service, kind, entry } of entries) {
    if (kind === undefined || kind.idempotent) continue;
    const place = `${service.name} ${kind.name}`;
    counts.set(place, (counts.get(place) ?? 0) + entry.effectAt.length);
  }
  return counts;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

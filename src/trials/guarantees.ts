/** Checks the guarantees against the journals of callers and back ends. */
import type { KindRules, Rules, ServiceRules } from '../config/rules.js';
import type { BackendJournal, JournalEntry } from '../stand-ins/backend/effects-journal.js';
import type { RequestRecord } from '../stand-ins/callers/caller-journal.js';

/** Counts of one kind of request over both journals. */
export interface KindFigures {
  readonly kind: string;
  readonly requests: number;
  /** Attempts at back ends on the whole chain, summed over the requests. */
  readonly attempts: number;
  readonly maxAttempts: number;
}

export interface GuaranteeReport {
  readonly sent: number;
  readonly complete: number;
  /** Non-idempotent requests that took effect more than once at a service. */
  readonly doubled: number;
  /** Answers that belong to another request or are damaged, at callers or between services. */
  readonly wrongAnswer: number;
  /** Requests whose attempts were all refused as not run although a back end had begun one. */
  readonly notRunButRan: number;
  /** Complete answers without an effect in any journal. */
  readonly completeWithoutEffect: number;
  readonly maxAttempts: number;
  /** Requests with more attempts on the whole chain than their kind allows. */
  readonly aboveBound: number;
  /** Attempts whose connection closed before the answer was complete. */
  readonly cut: number;
  readonly kinds: readonly KindFigures[];
  /** One line for each of the first violations; empty when all guarantees hold. */
  readonly violations: readonly string[];
}

export interface GuaranteeInput {
  readonly rules: Rules;
  readonly records: readonly RequestRecord[];
  readonly journals: readonly BackendJournal[];
  /** Whether a back end was killed and its journal lost, so that effects may be missing. */
  readonly journalsIncomplete?: boolean;
}

const MAX_LISTED_VIOLATIONS = 20;

/** Journal entry of a back end with the rules of its service and kind. */
interface LocatedEntry {
  readonly service: ServiceRules;
  readonly kind: KindRules | undefined;
  readonly entry: JournalEntry;
}

export function hasNoViolations(report: GuaranteeReport): boolean {
  return report.violations.length === 0;
}

/** Compares the callers' records with the back ends' journals. */
export function checkGuarantees(input: GuaranteeInput): GuaranteeReport {
  const { rules, records, journals } = input;
  const byRequest = indexEntries(rules, journals);
  const violations: string[] = [];
  const kinds = new Map<string, { requests: number; attempts: number; maxAttempts: number }>();
  const totals = { doubled: 0, wrong: 0, notRunButRan: 0, withoutEffect: 0, aboveBound: 0 };
  const addViolation = (record: RequestRecord, violation: string): void => {
    violations.push(`${record.kind} ${record.request}: ${violation}`);
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
      addViolation(record, `${attempts} attempts, ${bound} allowed`);
    }
    if (record.verdict === 'wrong') {
      totals.wrong += 1;
      addViolation(record, 'got an answer that belongs to another request or is damaged');
    }
    const begun = sum(entries.map(({ entry }) => entry.begunAt.length));
    if (record.toldNotRun && begun > 0) {
      totals.notRunButRan += 1;
      addViolation(record, `reported as not run, but begun ${begun} times`);
    }
    const effects = sum(entries.map(({ entry }) => entry.effectAt.length));
    if (record.verdict === 'complete' && effects === 0 && input.journalsIncomplete !== true) {
      totals.withoutEffect += 1;
      addViolation(record, 'complete, but no journal contains an effect');
    }
  }
  for (const [request, entries] of byRequest) {
    for (const [serviceAndKind, count] of countEffects(entries)) {
      if (count < 2) continue;
      totals.doubled += 1;
      violations.push(`${request}: ${count} effects at ${serviceAndKind}`);
    }
  }
  const wrongBelow = sum(journals.map(({ counters }) => counters.wrongAnswersBelow));
  if (wrongBelow > 0)
    violations.push(
      `${wrongBelow} answers between services belonged to another request or were damaged`,
    );

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
    violations: violations.slice(0, MAX_LISTED_VIOLATIONS),
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

/** Counts effects of a request's non-idempotent calls by service and kind, over all targets. */
function countEffects(entries: readonly LocatedEntry[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { service, kind, entry } of entries) {
    if (kind === undefined || kind.idempotent) continue;
    const serviceAndKind = `${service.name} ${kind.name}`;
    counts.set(serviceAndKind, (counts.get(serviceAndKind) ?? 0) + entry.effectAt.length);
  }
  return counts;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

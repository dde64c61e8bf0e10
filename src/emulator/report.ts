/** The tables that `sillshore experiment run` prints. */
import type { ExperimentResult, KindSummary, PolicySummary } from './experiment.js';
import type { Spread } from './statistics.js';

const PERCENT = 100;
const MAX_REFUSAL_ROWS = 6;

/** Formats the result of an experiment as text. */
export function formatReport({ scenario, summary }: ExperimentResult): string {
  const { name, durationMs, warmUpMs, seeds } = scenario;
  const head = `${name}: ${durationMs / 1_000} s, first ${warmUpMs / 1_000} s not counted, ${seeds.length} seed(s); median [lowest..highest]`;
  const sections = [
    head,
    formatTable(POLICY_HEAD, summary.map(policyRow)),
    'By policy and kind (shares of the requests sent)',
    formatTable(
      KIND_HEAD,
      summary.flatMap(({ policy, kinds }) => kinds.map((kind) => kindRow(policy, kind))),
    ),
    'Slot time by service (shares of all slot time): in complete requests, in others, after the end',
    formatTable(SLOT_HEAD, summary.flatMap(slotRows)),
    'Wait in the gate before the dispatch (median over seeds of the mean, ms)',
    formatTable(WAIT_HEAD, summary.flatMap(waitRows)),
    'Refusals, most frequent first (median count)',
    formatTable(REFUSAL_HEAD, summary.flatMap(refusalRows)),
  ];
  return sections.join('\n\n');
}

const POLICY_HEAD = [
  'policy',
  'goodput/bound',
  'critical/bound',
  'goodput/unranked bound',
  'before',
  'recovery s',
  'attempts/call',
  'max attempts/call',
  'bound kept',
];

function policyRow(summary: PolicySummary): string[] {
  return [
    summary.policy,
    formatSpread(summary.goodputRatio, 3),
    formatSpread(summary.criticalRatio, 3),
    formatSpread(summary.unrankedRatio, 3),
    summary.levelBefore === undefined ? '-' : summary.levelBefore.median.toFixed(3),
    summary.recoveryMs === undefined ? '-' : formatRecovery(summary.recoveryMs),
    formatSpread(summary.attemptsPerCall, 2),
    summary.maxAttemptsPerCall.toFixed(1),
    summary.overAttemptsBound ? 'no' : 'yes',
  ];
}

const KIND_HEAD = [
  'policy',
  'kind',
  'class',
  'sent',
  'complete %',
  'refused %',
  'failed %',
  'timeout %',
  'of bound',
  'p50 ms',
  'p99 ms',
  'attempts/call',
  'max/bound',
];

function kindRow(policy: string, kind: KindSummary): string[] {
  return [
    policy,
    kind.kind,
    kind.criticality,
    kind.sent.median.toFixed(0),
    formatSpread(scale(kind.complete), 1),
    percent(kind.refused),
    percent(kind.failed),
    percent(kind.timeout),
    kind.boundRatio.median.toFixed(3),
    kind.p50Ms.median.toFixed(1),
    kind.p99Ms.median.toFixed(1),
    kind.attemptsPerCall.median.toFixed(2),
    `${kind.maxAttempts}/${kind.attemptsBound}`,
  ];
}

const SLOT_HEAD = ['policy', 'service', 'useful', 'wasted', 'late'];

function slotRows({ policy, services }: PolicySummary): string[][] {
  return services.map(({ service, useful, wasted, late }) => [
    policy,
    service,
    useful.toFixed(3),
    wasted.toFixed(3),
    late.toFixed(3),
  ]);
}

const REFUSAL_HEAD = ['policy', 'place code service depth', 'count'];

function refusalRows({ policy, refusals }: PolicySummary): string[][] {
  return Object.entries(refusals)
    .sort((left, right) => right[1] - left[1])
    .slice(0, MAX_REFUSAL_ROWS)
    .map(([key, count]) => [policy, key, count.toFixed(0)]);
}

const WAIT_HEAD = ['policy', 'kind, service, depth', 'wait ms'];

function waitRows({ policy, gateWaitMs }: PolicySummary): string[][] {
  return Object.entries(gateWaitMs).map(([key, waitMs]) => [policy, key, waitMs.toFixed(1)]);
}

/** Formats a median with its range. */
function formatSpread({ median, min, max }: Spread, digits: number): string {
  return `${median.toFixed(digits)} [${min.toFixed(digits)}..${max.toFixed(digits)}]`;
}

function formatRecovery({ median, min, max }: Spread): string {
  return `${seconds(median)} [${seconds(min)}..${seconds(max)}]`;
}

function seconds(milliseconds: number): string {
  return Number.isFinite(milliseconds) ? (milliseconds / 1_000).toFixed(1) : 'never';
}

function scale({ median, min, max }: Spread): Spread {
  return { median: median * PERCENT, min: min * PERCENT, max: max * PERCENT };
}

function percent({ median }: Spread): string {
  return (median * PERCENT).toFixed(1);
}

/** Formats a table with aligned columns, which is also valid Markdown. */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const line = (cells: readonly string[]) =>
    `| ${cells.map((cell, column) => cell.padEnd(widths[column]!)).join(' | ')} |`;
  const rule = `|${widths.map((width) => '-'.repeat(width + 2)).join('|')}|`;
  return [line(head), rule, ...rows.map(line)].join('\n');
}

/**
 * The demo: runs load on a three-zone deployment of separate processes and checks the guarantees
 * against the journals of callers and back ends. `scripts/demo` runs it. The last line of output
 * is one JSON object.
 */
import type { CallersResult } from '../stand-ins/callers/start-callers.js';
import type { KindSummary } from '../stand-ins/callers/summary.js';
import { Deployment } from './deployment.js';
import type { ExampleName } from './deployment-plan.js';
import { checkGuarantees, hasNoViolations, type GuaranteeReport } from './guarantees.js';
import {
  addedLatency,
  measurePaths,
  type AddedLatency,
  type PathLatencies,
} from './latency-paths.js';
import { ManagedProcess } from './managed-process.js';
import { formatTable } from '../cli/table.js';

const LOAD_MS = 15_000;
const PROBE_WARM_UP_MS = 2_000;
const APPLY_TIMEOUT_MS = 15_000;
const EXAMPLES: readonly ExampleName[] = ['recife', 'trondheim'];
const EXIT_GUARANTEE_BROKEN = 5;
const EXIT_USAGE = 2;
const EXIT_INTERRUPTED = 130;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Applies the rules with the `config apply` command, as an operator does. */
async function applyByCommandLine(deployment: Deployment): Promise<void> {
  const { rulesFile, rules, nodes } = deployment.plan;
  const { listen, admin } = nodes[0]!.settings;
  const command = new ManagedProcess('config apply', [
    ...['config', 'apply', rulesFile, '--expect', '0'],
    ...['--admin', `http://${listen.admin}`, '--token', admin.token],
  ]);
  const timer = setTimeout(() => {
    command.signal('SIGKILL');
  }, APPLY_TIMEOUT_MS);
  const exit = await command.ended;
  clearTimeout(timer);
  if (exit.code !== 0)
    throw new Error(`config apply exited with code ${exit.code}: ${command.stderr}`);
  print(command.stdout.trimEnd());
  await deployment.waitInForce();
  print(`rules of ${rules.tenant} are in force at ${nodes.length} nodes`);
}

async function runLoad(
  deployment: Deployment,
): Promise<{ callers: CallersResult; probe: PathLatencies }> {
  const { probe } = deployment.plan.workload;
  const direct = deployment.targets
    .filter(({ plan }) => plan.service === probe.service)
    .map(({ plan }) => `http://${plan.address}`);
  const callers = await deployment.startCallers({ durationMs: LOAD_MS });
  const latencies = await measurePaths({
    stream: probe,
    paths: [
      { name: 'direct', entries: direct },
      { name: 'through a node', entries: deployment.entries },
    ],
    ratePerPath: probe.ratePerSecond / 2,
    durationMs: LOAD_MS - PROBE_WARM_UP_MS,
    warmUpMs: PROBE_WARM_UP_MS,
    seed: 1,
  });
  return { callers: await callers.result, probe: latencies };
}

function printKinds(kinds: readonly KindSummary[], report: GuaranteeReport): void {
  const rows = kinds.map((kind) => {
    const figuresOfKind = report.kinds.find((candidate) => candidate.kind === kind.kind);
    const mean = (figuresOfKind?.attempts ?? 0) / Math.max(1, figuresOfKind?.requests ?? 0);
    const { p50, p99 } = kind.latency;
    return [
      kind.kind,
      ...[kind.sent, kind.complete, kind.refused, kind.failed, kind.unknown, kind.wrong],
      ...[p50.toFixed(1), p99.toFixed(1), mean.toFixed(2), figuresOfKind?.maxAttempts ?? 0],
    ];
  });
  const heading = ['kind', 'sent', 'complete', 'refused', 'failed', 'unknown', 'wrong'];
  print(formatTable([...heading, 'p50 ms', 'p99 ms', 'attempts', 'most'], rows));
  for (const { kind, codes } of kinds) {
    const entries = Object.entries(codes);
    if (entries.length === 0) continue;
    print(`${kind}: ${entries.map(([code, count]) => `${code} x ${count}`).join(', ')}`);
  }
}

function printProbe(probe: PathLatencies, added: AddedLatency): void {
  const rows = probe.paths.map(({ name, failed, latency, backend }) => [
    name,
    ...[latency.count, failed],
    ...[latency.p50, latency.p99, backend.p50, backend.p99].map((value) => value.toFixed(2)),
  ]);
  const heading = ['path', 'counted', 'failed', 'p50 ms', 'p99 ms', 'back end p50', 'back end p99'];
  print(formatTable(heading, rows));
  print(
    `added, as the difference of quantiles: ${added.p50.toFixed(2)} ms at the median, ` +
      `${added.p99.toFixed(2)} ms at the 99th`,
  );
}

async function runDemo(example: ExampleName): Promise<boolean> {
  const startedAt = performance.now();
  print(`starting ${example}`);
  const deployment = await Deployment.startWithoutRules({ example });
  try {
    const { targets, nodes } = deployment;
    print(`platform, ${targets.length} back ends and ${nodes.length} nodes are running`);
    await applyByCommandLine(deployment);
    print(`running load for ${LOAD_MS / 1000} s`);
    const { callers, probe } = await runLoad(deployment);
    const journals = await deployment.readJournals();
    const { rules } = deployment.plan;
    const report = checkGuarantees({ rules, records: callers.records, journals });
    const [direct, through] = probe.paths;
    const added = addedLatency(direct!, through!);
    printKinds(callers.kinds, report);
    printProbe(probe, added);
    for (const violation of report.violations) print(`broken: ${violation}`);
    const succeeded = hasNoViolations(report) && report.sent > 0;
    if (!succeeded || report.complete === 0) print(deployment.logs());
    await deployment.stop('SIGTERM');
    const { sent, complete, doubled, wrongAnswer, maxAttempts, notRunButRan, aboveBound } = report;
    print(
      JSON.stringify({
        ...{ example, sent, complete, doubled, wrongAnswer, maxAttempts, notRunButRan, aboveBound },
        ...{ addedP50Ms: added.p50, addedP99Ms: added.p99 },
        seconds: Math.round((performance.now() - startedAt) / 1_000),
      }),
    );
    return succeeded && complete > 0;
  } finally {
    await deployment.stop();
  }
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(EXIT_INTERRUPTED));
}
const example = EXAMPLES.find((name) => name === (process.argv[2] ?? 'recife'));
if (example === undefined) {
  process.stderr.write(`usage: demo [${EXAMPLES.join(' | ')}]\n`);
  process.exitCode = EXIT_USAGE;
} else {
  process.exitCode = (await runDemo(example)) ? 0 : EXIT_GUARANTEE_BROKEN;
}

/** `sillshore bench latency` and `sillshore experiment faults`. */
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { SillshoreCommand } from '../cli/command.js';
import { ExitCode } from '../cli/exit-code.js';
import type { FaultRunResult } from './fault-run.js';

const positiveInteger = t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]);
const DEFAULT_RATES = ['77', '770'];

/** Measures the latency that nodes add. */
export class BenchLatencyCommand extends SillshoreCommand {
  static override paths = [['bench', 'latency']];
  static override usage = Command.Usage({
    category: 'Benchmarks',
    description: 'measure the latency that nodes add to a call',
    details: `
      Starts a platform, three nodes and a back end of constant service time on loopback and sends
      the same requests directly, over one hop and over two, interleaved in one run. "Added" is
      the difference of quantiles against the direct path; the last two columns are the back
      end's own time, which shows its jitter. Run it in the repository's root: it reads
      examples/recife.
    `,
    examples: [
      ['Both rates, 15 s each', '$0 bench latency'],
      ['One rate, for a program', '$0 bench latency --rate 77 --duration-ms 30000 --json'],
    ],
  });

  rates = Option.Array('--rate', {
    description: 'Calls per second on each path; repeat for more runs; by default 77 and 770',
  });
  durationMs = Option.String('--duration-ms', '15000', { validator: positiveInteger });
  seed = Option.String('--seed', '1', { validator: t.isNumber() });
  requestId = Option.Boolean('--request-id', false, {
    description: 'Requests carry an Idempotency-Key, which is charged at the claim replicas',
  });
  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  protected async run(): Promise<ExitCode> {
    const rates = (this.rates ?? DEFAULT_RATES).map(Number);
    if (!rates.every((rate) => rate > 0)) {
      this.context.stderr.write('--rate must be a positive number\n');
      return ExitCode.InvalidInput;
    }
    const { runLatencyBenchmark, formatLatencyRun } = await import('./latency-benchmark.js');
    const { durationMs, seed, requestId } = this;
    const runs = await runLatencyBenchmark({ rates, durationMs, seed, requestId });
    if (this.json) this.printJson(runs);
    else for (const run of runs) this.print(`${formatLatencyRun(run)}\n`);
    return ExitCode.Ok;
  }
}

/** Runs seeded schedules of faults over real processes. */
export class ExperimentFaultsCommand extends SillshoreCommand {
  static override paths = [['experiment', 'faults']];
  static override usage = Command.Usage({
    category: 'Experiments',
    description: 'run seeded faults over a deployment of processes and check the guarantees',
    details: `
      For each seed: starts an example as separate processes on loopback, runs load with
      aggressive retries while nodes are killed, paused and stopped, back ends misbehave and the platform
      fails, then a calm load, and checks the journals of both ends. Exits with 5 when a guarantee
      was broken, and prints the seed. A seed fixes the schedule, not the machine's timing.
      Run it in the repository's root.
    `,
    examples: [
      ['One seed', '$0 experiment faults --seed 7'],
      ['More faults, several seeds', '$0 experiment faults --seed 1 --seed 2 --faults 20'],
    ],
  });

  seeds = Option.Array('--seed', { description: 'Seed, by default 1; repeat for more' });
  example = Option.String('--example', 'recife', {
    validator: t.isEnum(['recife', 'trondheim'] as const),
  });
  faults = Option.String('--faults', '12', { validator: positiveInteger });
  durationMs = Option.String('--duration-ms', '12000', { validator: positiveInteger });
  rateFactor = Option.String('--rate-factor', '0.5', { validator: t.isNumber() });
  json = Option.Boolean('--json', false, { description: 'Print one JSON object per seed' });

  protected async run(): Promise<ExitCode> {
    const { Deployment } = await import('./deployment.js');
    const { runFaults } = await import('./fault-run.js');
    const { example, faults, durationMs, rateFactor } = this;
    let broken = false;
    for (const seed of (this.seeds ?? ['1']).map(Number)) {
      const deployment = await Deployment.start({ example });
      try {
        const result = await runFaults(deployment, { seed, faults, durationMs, rateFactor });
        broken ||= result.report.violations.length > 0 || result.calmComplete === 0;
        this.printResult(result);
      } finally {
        await deployment.stop();
      }
    }
    return broken ? ExitCode.GuaranteeBroken : ExitCode.Ok;
  }

  private printResult(result: FaultRunResult): void {
    if (this.json) {
      this.print(JSON.stringify(result));
      return;
    }
    const { seed, report, log, calmComplete, calmSent, calmCodes } = result;
    for (const line of log) this.print(`  ${line}`);
    for (const line of calmCodes) this.print(`  calm load: ${line}`);
    for (const violation of report.violations) this.print(`  broken: ${violation}`);
    const { sent, complete, doubled, wrongAnswer, notRunButRan, aboveBound, maxAttempts } = report;
    this.print(
      `seed ${seed}: ${sent} sent, ${complete} complete, ${doubled} doubled, ` +
        `${wrongAnswer} wrong, ${notRunButRan} reported not-run but run, ${aboveBound} above the ` +
        `bound, at most ${maxAttempts} attempts; calm: ${calmComplete} of ${calmSent} complete`,
    );
  }
}

/** Commands that run a deployment of processes. */
export const commands = [BenchLatencyCommand, ExperimentFaultsCommand];

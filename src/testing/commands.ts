/** `sillshore bench latency`. */
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { SillshoreCommand } from '../cli/command.js';
import { ExitCode } from '../cli/exit-code.js';

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
    description: 'Calls a second on each path; repeat for more runs; 77 and 770 when absent',
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

/** Commands of this module. */
export const commands = [BenchLatencyCommand];

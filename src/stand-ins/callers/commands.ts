/** `sillshore emulate callers`. */
import { readFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { SillshoreCommand } from '../../cli/command.js';
import { ExitCode } from '../../cli/exit-code.js';

const positiveInteger = t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]);
const notNegative = t.cascade(t.isNumber(), [t.isAtLeast(0)]);

/** Runs callers against a deployment. */
export class EmulateCallersCommand extends SillshoreCommand {
  static override paths = [['emulate', 'callers']];
  static override usage = Command.Usage({
    category: 'Stand-ins',
    description: 'run open-loop callers for tests and trials',
    details: `
      Sends the streams of a workload document at their rates, independent of the answers, retries
      failed requests when --tries is above 1, checks every answer, and prints the result as JSON.

      With --control it serves GET /control/result, and POST /control with
      {"rateFactor": 2} or {"stop": true}.
    `,
    examples: [
      [
        'Fifteen seconds of an example against one node',
        '$0 emulate callers --workload examples/recife/workload.yaml --entry http://127.0.0.1:8080 --duration-ms 15000',
      ],
      [
        'Twice the load from callers that retry aggressively',
        '$0 emulate callers --workload examples/recife/workload.yaml --entry http://127.0.0.1:8080 --rate-factor 2 --tries 4 --try-patience 0.3',
      ],
    ],
  });

  workload = Option.String('--workload', { required: true });
  entries = Option.Array('--entry', { required: true, description: 'Base URL; repeat for more' });
  kinds = Option.Array('--kind', [], { description: 'Only these kinds; repeat for more' });
  durationMs = Option.String('--duration-ms', '15000', { validator: positiveInteger });
  rateFactor = Option.String('--rate-factor', '1', { validator: notNegative });
  tries = Option.String('--tries', '1', { validator: positiveInteger });
  retryDelayMs = Option.String('--retry-delay-ms', '0', { validator: notNegative });
  tryPatience = Option.String('--try-patience', '1', {
    validator: t.cascade(t.isNumber(), [t.isInInclusiveRange(0.01, 1)]),
    description: 'Fraction of the time limit after which an attempt is abandoned and retried',
  });
  seed = Option.String('--seed', '1', { validator: t.isNumber() });
  control = Option.String('--control', { description: 'Address of the control endpoint' });
  journal = Option.Boolean('--journal', false, { description: 'Also print every request' });

  protected async run(): Promise<ExitCode> {
    const { parseWorkload } = await import('../workload.js');
    const workload = parseWorkload(readFileSync(this.workload, 'utf8'));
    if (workload.isErr) return this.fail(workload.error);
    const wanted = new Set(this.kinds);
    const streams = workload.value.streams.filter(
      (stream) => wanted.size === 0 || wanted.has(stream.kind),
    );
    const { startCallers } = await import('./start-callers.js');
    const callers = startCallers({
      entries: this.entries,
      streams,
      rateFactor: this.rateFactor,
      durationMs: this.durationMs,
      seed: this.seed,
      retries: {
        maxTries: this.tries,
        delayMs: this.retryDelayMs,
        tryPatience: this.tryPatience,
        otherEntry: true,
      },
    });
    const { serveCallersControl } = await import('./callers-control.js');
    const stopControl = await serveCallersControl(callers, this.control, (address) => {
      this.print(JSON.stringify({ ready: true, address }));
    });
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => {
        callers.stop();
      });
    }
    const { records, ...summary } = await callers.done;
    await this.printWhole(JSON.stringify(this.journal ? { ...summary, records } : summary));
    await stopControl();
    return ExitCode.Ok;
  }

  /** Prints and waits until it is written: the process's exit would cut a long line in a pipe. */
  private async printWhole(line: string): Promise<void> {
    await new Promise((resolve) => this.context.stdout.write(`${line}\n`, resolve));
  }
}

export const commands = [EmulateCallersCommand];

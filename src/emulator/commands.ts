/** Commands of the experiment tool. */
import { readFile } from 'node:fs/promises';
import { availableParallelism } from 'node:os';
import { Command, Option } from 'clipanion';
import { applyCascade, isInInclusiveRange, isInteger, isNumber } from 'typanion';
import { Result } from 'true-myth';
import { SillshoreCommand } from '../cli/command.js';
import { ExitCode } from '../cli/exit-code.js';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { RunResult } from './run-result.js';
import type { Scenario } from './scenario.js';

const MAX_SEEDS = 100;
const MAX_JOBS = 64;
const MAX_DEFAULT_JOBS = 4;

/** Runs the policies of a scenario file in virtual time. */
export class ExperimentRunCommand extends SillshoreCommand {
  static override paths = [['experiment', 'run']];
  static override usage = Command.Usage({
    description: 'run a scenario file in virtual time and compare policies',
    details: `
      Runs every policy of the scenario with every seed, prints a table by policy and kind, and
      with --out writes the raw results as JSON and plots as SVG. The same file gives the same
      result, byte for byte. Progress goes to standard error.

      Exit codes: 0 done, 2 invalid scenario or usage.
    `,
    examples: [
      ['Run a scenario', '$0 experiment run examples/experiments/recife-slow-deep.yaml'],
      ['One policy, two seeds, files', '$0 experiment run FILE --policy none --seeds 2 --out out'],
    ],
  });

  file = Option.String({ name: 'file', required: true });
  json = Option.Boolean('--json', false, { description: 'Print the summary as JSON' });
  out = Option.String('--out', { description: 'Directory for raw results and plots' });
  seeds = Option.String('--seeds', {
    description: "Number of seeds, counted from 1, in place of the file's",
    validator: applyCascade(isNumber(), [isInteger(), isInInclusiveRange(1, MAX_SEEDS)]),
  });
  jobs = Option.String('--jobs', {
    description: 'Parallel runs; by default half of the processors, at most four',
    validator: applyCascade(isNumber(), [isInteger(), isInInclusiveRange(1, MAX_JOBS)]),
  });
  policies = Option.Array('--policy', { description: "Policy in place of the file's; repeatable" });

  protected async run(): Promise<ExitCode> {
    const scenario = await this.readScenario();
    if (scenario.isErr) return this.fail(scenario.error);
    const { runExperiment } = await import('./experiment.js');
    const jobs = this.jobs ?? defaultJobs();
    const result = await runExperiment(scenario.value, jobs, (done, total, run) => {
      this.context.stderr.write(`${formatProgress(done, total, run)}\n`);
    });
    if (this.json) {
      this.printJson(result.summary);
    } else {
      const { formatReport } = await import('./report.js');
      this.print(formatReport(result));
    }
    if (this.out !== undefined) {
      const { writeExperimentFiles } = await import('./experiment-files.js');
      const paths = await writeExperimentFiles(result, this.out);
      for (const path of paths) this.context.stderr.write(`wrote ${path}\n`);
    }
    return ExitCode.Ok;
  }

  private async readScenario(): Promise<Result<Scenario, Failure>> {
    const { parseScenario, validateScenario } = await import('./scenario.js');
    let text: string;
    try {
      text = await readFile(this.file, 'utf8');
    } catch (error) {
      const detail = `cannot read ${this.file}: ${(error as Error).message}`;
      return Result.err(createFailure(ResultCode.ScenarioInvalid, detail));
    }
    const seedCount = this.seeds;
    const { policies } = this;
    return parseScenario(text).andThen((scenario) =>
      validateScenario({
        ...scenario,
        ...(policies === undefined ? {} : { policies }),
        ...(seedCount === undefined ? {} : { seeds: countFromOne(seedCount) }),
      }),
    );
  }
}

function defaultJobs(): number {
  return Math.max(1, Math.min(MAX_DEFAULT_JOBS, Math.floor(availableParallelism() / 2)));
}

function countFromOne(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}

function formatProgress(done: number, total: number, run: RunResult): string {
  const { policy, seed, events, goodputRatio } = run;
  return `${done}/${total} ${policy} seed ${seed}: ${events} events, goodput/bound ${goodputRatio.toFixed(3)}`;
}

/** Command classes to register. */
export const commands = [ExperimentRunCommand];

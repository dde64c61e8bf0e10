/**
 * Base class of the commands. A command does its work in `run` and returns an exit code; failures
 * are values, which `fail` prints.
 *
 * Convention: a folder outside src/cli exports its command classes as `commands` from
 * `src/<folder>/commands.ts` (stand-ins: `src/stand-ins/<name>/commands.ts`), and
 * src/cli/registered-commands.ts lists them. A command's module imports what it runs lazily
 * (`await import`), so that starting one command does not load the code of the others.
 */
import { Command } from 'clipanion';
import type { Failure } from '../core/failure.js';
import { describeResultCode } from '../core/result-code.js';
import { ExitCode, exitCodeOf } from './exit-code.js';

/** A command class that clipanion can register. */
export type CommandClass = new () => Command;

/** A command of the `sillshore` program. */
export abstract class SillshoreCommand extends Command {
  /** Runs the command; throws only for defects. */
  protected abstract run(): Promise<ExitCode>;

  override async execute(): Promise<number> {
    return await this.run();
  }

  /** Writes one line to standard output. */
  protected print(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }

  /** Writes one value as JSON to standard output. */
  protected printJson(value: unknown): void {
    this.print(JSON.stringify(value, undefined, 2));
  }

  /** Writes a failure to standard error and returns its exit code. */
  protected fail(failure: Failure): ExitCode {
    const { title } = describeResultCode(failure.code);
    this.context.stderr.write(`error ${failure.code}: ${title}: ${failure.detail}\n`);
    for (const { path, message } of failure.violations ?? []) {
      this.context.stderr.write(`  ${path === '' ? '(document)' : path}: ${message}\n`);
    }
    if (failure.retryAfterMs !== undefined) {
      this.context.stderr.write(`  try again after ${failure.retryAfterMs} ms\n`);
    }
    return exitCodeOf(failure);
  }
}

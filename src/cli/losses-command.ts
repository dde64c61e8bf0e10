/** `sillshore losses`. */
import { Command, Option } from 'clipanion';
import { countLosses, sumLosses, type LossRow } from '../logs/losses.js';
import { SillshoreCommand } from './command.js';
import { ExitCode } from './exit-code.js';
import { readLogLines } from './log-files.js';
import { formatTable } from './table.js';

/** Prints how the requests in the logs of all nodes ended, by kind and cause. */
export class LossesCommand extends SillshoreCommand {
  static override paths = [['losses']];
  static override usage = Command.Usage({
    description: 'print where requests were lost',
    details: `
      Reads log files of any number of nodes, or standard input, and prints how many requests were
      refused or failed, by kind and cause. Calls made by targets are counted separately from requests
      of callers. Served requests are counted only if the logs contain them (level debug).
    `,
    examples: [
      ['Over the whole time', '$0 losses logs/*.log'],
      ['Second by second', '$0 losses --by-second logs/*.log'],
    ],
  });

  bySecond = Option.Boolean('--by-second', false, {
    description: 'one row a second, kind and cause',
  });
  files = Option.Rest({ name: 'file' });

  protected async run(): Promise<ExitCode> {
    const rows = countLosses(await readLogLines(this.files, this.context.stdin));
    const shown = this.bySecond ? rows : sumLosses(rows);
    const header = ['kind', 'from', 'ending', 'cause', 'count'];
    const columns = this.bySecond ? ['second', ...header] : header;
    this.print(
      formatTable(
        columns,
        shown.map((row) => this.toCells(row)),
      ),
    );
    return ExitCode.Ok;
  }

  private toCells({ second, kind, fromCaller, ending, cause, count }: LossRow): string[] {
    const cells = [kind, fromCaller ? 'caller' : 'target', ending, cause, String(count)];
    return this.bySecond ? [String(second), ...cells] : cells;
  }
}

export const lossesCommands = [LossesCommand];

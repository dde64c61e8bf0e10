/** `sillshore story`. */
import { Command, Option } from 'clipanion';
import { describeLine, selectRequestLines } from '../logs/request-story.js';
import { SillshoreCommand } from './command.js';
import { ExitCode } from './exit-code.js';
import { readLogLines } from './log-files.js';

/** Prints the log lines of several nodes about one request and its calls, in causal order. */
export class StoryCommand extends SillshoreCommand {
  static override paths = [['story']];
  static override usage = Command.Usage({
    description: 'print the log lines about one request',
    details: `
      Reads log files of any number of nodes, or standard input, and prints the lines about one
      request and the calls that were made for it. Clocks of nodes differ, so lines
      are in causal order: attempts first, the outcome that the caller saw last.
    `,
    examples: [['From the files of all nodes', '$0 story 9c41d07be2a35f68 logs/*.log']],
  });

  id = Option.String({ name: 'id' });
  files = Option.Rest({ name: 'file' });

  protected async run(): Promise<ExitCode> {
    const lines = await readLogLines(this.files, this.context.stdin);
    const story = selectRequestLines(lines, this.id);
    if (story.length === 0) {
      this.context.stderr.write(`no log line about ${this.id}\n`);
      return ExitCode.OperationFailed;
    }
    for (const line of story) this.print(describeLine(line));
    return ExitCode.Ok;
  }
}

export const storyCommands = [StoryCommand];

/** `sillshore version`. */
import { Command, Option } from 'clipanion';
import { readVersion } from '../node/version.js';
import { SillshoreCommand } from './command.js';
import { ExitCode } from './exit-code.js';

export class VersionCommand extends SillshoreCommand {
  static override paths = [['version'], ['--version']];
  static override usage = Command.Usage({
    description: 'print the version',
    examples: [
      ['Print the version', '$0 version'],
      ['For a program', '$0 version --json'],
    ],
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  protected async run(): Promise<ExitCode> {
    const version = readVersion();
    if (this.json) this.printJson({ version, node: process.version });
    else this.print(version);
    return ExitCode.Ok;
  }
}

export const versionCommands = [VersionCommand];

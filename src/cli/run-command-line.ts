/** Runs a command line in this process, for main.ts and the tests. */
import { Cli, type BaseContext, type Command } from 'clipanion';
import { ExitCode } from './exit-code.js';
import { registeredCommands } from './registered-commands.js';
import { readVersion } from '../node/version.js';

/** Streams and environment of a command line; absent ones are those of the process. */
export type CommandLineContext = Partial<BaseContext>;

function createCli(): Cli {
  const cli = new Cli({
    binaryLabel: 'Sillshore: overload control for service call graphs',
    binaryName: 'sillshore',
    binaryVersion: readVersion(),
  });
  for (const command of registeredCommands) cli.register(command);
  return cli;
}

/**
 * Parses and runs a command line.
 *
 * @param argv arguments after the program's name
 * @returns the exit code; `ExitCode.InvalidInput` on wrong usage
 */
export async function runCommandLine(
  argv: string[],
  context: CommandLineContext = {},
): Promise<number> {
  const cli = createCli();
  const full = { ...Cli.defaultContext, ...context };
  let command: Command;
  try {
    command = cli.process(argv, full);
  } catch (error) {
    full.stderr.write(cli.error(error));
    return ExitCode.InvalidInput;
  }
  return await cli.run(command, full);
}

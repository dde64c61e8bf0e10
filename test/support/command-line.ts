/** Runs command lines in the test's process with captured streams. */
import { PassThrough } from 'node:stream';
import { text } from 'node:stream/consumers';
import { runCommandLine } from '../../src/cli/run-command-line.js';

/** Exit code and output of a command line. */
export interface CommandOutcome {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a command line; `env` is its whole environment. */
export async function runCaptured(
  argv: readonly string[],
  env: Record<string, string> = {},
): Promise<CommandOutcome> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const context = { stdin: new PassThrough(), stdout, stderr, env, colorDepth: 1 };
  const texts = Promise.all([text(stdout), text(stderr)]);
  const exitCode = await runCommandLine([...argv], context);
  stdout.end();
  stderr.end();
  const [out, error] = await texts;
  return { exitCode, stdout: out, stderr: error };
}

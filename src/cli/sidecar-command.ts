/** `sillshore sidecar`. */
import { readFile, stat } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import { validateSidecarSettings, type SidecarSettings } from '../sidecar/settings.js';
import { SillshoreCommand } from './command.js';
import { ExitCode } from './exit-code.js';

/** Runs a target's sidecar until a stop signal. */
export class SidecarCommand extends SillshoreCommand {
  static override paths = [['sidecar']];
  static override usage = Command.Usage({
    description: 'run the sidecar of one target',
    details: `
      Runs until SIGTERM or SIGINT, which start a planned stop: the node reports that it is not
      ready, still serves new requests, completes running ones, then stops. A further SIGTERM
      changes nothing; SIGINT after that stops at once.
    `,
    examples: [['Run with a settings file', '$0 sidecar --settings sidecar.json']],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'Settings file, JSON; see docs/CONFIGURATION.md',
  });
  check = Option.Boolean('--check', false, { description: 'Only check the settings file' });

  protected async run(): Promise<ExitCode> {
    const settings = await readSettings(this.settings);
    if (settings.isErr) return this.fail(settings.error);
    if (this.check) return ExitCode.Ok;
    const { platformAdapter } = await import('../../platform/adapter.js');
    const { createSidecar } = await import('../sidecar/create-sidecar.js');
    const { runKernel } = await import('../kernel/run-kernel.js');
    const { SidecarToken } = await import('../sidecar/plugins/tokens.js');
    const source = {
      read: () => readSettings(this.settings),
      stamp: () => readModificationTime(this.settings),
    };
    const kernel = createSidecar(settings.value, platformAdapter, { source });
    const current = kernel.container.get(SidecarToken.CurrentSettings);
    process.on('SIGHUP', () => {
      void current.reload();
    });
    const end = await runKernel(kernel, () => current.current.bounds.gracePeriod);
    return end === 'stopped' ? ExitCode.Ok : ExitCode.OperationFailed;
  }
}

async function readSettings(path: string): Promise<Result<SidecarSettings, Failure>> {
  try {
    return validateSidecarSettings(JSON.parse(await readFile(path, 'utf8')));
  } catch (error) {
    const detail = `cannot read ${path}: ${(error as Error).message}`;
    return Result.err(createFailure(ResultCode.SettingsInvalid, detail));
  }
}

/** Returns the time of the file's last change; empty when it cannot be read. */
async function readModificationTime(path: string): Promise<string> {
  try {
    return String((await stat(path)).mtimeMs);
  } catch {
    return '';
  }
}

export const sidecarCommands = [SidecarCommand];

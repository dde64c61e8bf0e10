/** `sillshore config check`. */
import { Command, Option } from 'clipanion';
import { Result } from 'true-myth';
import type { Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import { SillshoreCommand } from './command.js';
import { ExitCode } from './exit-code.js';
import { readTextFile } from './settings-source.js';

/** Checks a rules or settings document with the schema that nodes use. */
export class ConfigCheckCommand extends SillshoreCommand {
  static override paths = [['config', 'check']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'check a rules or settings document',
    details: `
      Checks a rules document, or with \`--settings\` a node's settings, and reports every
      error at once. It needs no node. \`config apply --check\` checks at a node instead.
    `,
    examples: [
      ['Check rules', '$0 config check rules.yaml'],
      ['Check a settings file', '$0 config check --settings node.yaml'],
    ],
  });

  file = Option.String({ name: 'file' });
  isSettings = Option.Boolean('--settings', false, { description: 'The file contains settings' });
  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  protected async run(): Promise<ExitCode> {
    const checked = this.isSettings ? await checkSettings(this.file) : await checkRules(this.file);
    if (checked.isErr) {
      if (this.json) this.printJson({ valid: false, ...checked.error });
      return this.fail(checked.error);
    }
    if (this.json) this.printJson({ valid: true, ...checked.value });
    else this.print(`valid: ${this.file}`);
    return ExitCode.Ok;
  }
}

async function checkSettings(file: string): Promise<Result<object, Failure>> {
  const { loadSettings } = await import('./settings-source.js');
  return (await loadSettings(file, [])).map(({ node }) => ({ node: node.id }));
}

async function checkRules(file: string): Promise<Result<object, Failure>> {
  const { parseRules } = await import('../config/rules.js');
  const text = await readTextFile(file, ResultCode.RulesInvalid);
  return text
    .andThen((document) => parseRules(document))
    .map(({ tenant, services }) => ({ tenant, services: services.length }));
}

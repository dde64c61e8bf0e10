/** The areas that bring commands; see the convention in command.ts. */
import { Builtins } from 'clipanion';
import type { CommandClass } from './command.js';
import { ConfigApplyCommand } from './config-apply-command.js';
import { ConfigCheckCommand } from './config-check-command.js';
import {
  ConfigGetCommand,
  ConfigHistoryCommand,
  ConfigInForceCommand,
  ConfigWatchCommand,
} from './config-read-commands.js';
import { drainCommands } from './drain-commands.js';
import { nodeCommands } from './node-command.js';
import { statusCommands } from './status-command.js';
import { versionCommands } from './version-command.js';

/** Every command of the program. */
export const registeredCommands: readonly CommandClass[] = [
  Builtins.HelpCommand,
  ...nodeCommands,
  ConfigCheckCommand,
  ConfigApplyCommand,
  ConfigGetCommand,
  ConfigHistoryCommand,
  ConfigInForceCommand,
  ConfigWatchCommand,
  ...statusCommands,
  ...drainCommands,
  ...versionCommands,
];

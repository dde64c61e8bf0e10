/** The areas that bring commands; see the convention in command.ts. */
import { Builtins } from 'clipanion';
import type { CommandClass } from './command.js';
import { nodeCommands } from './node-command.js';
import { versionCommands } from './version-command.js';

/** Every command of the program. */
export const registeredCommands: readonly CommandClass[] = [
  Builtins.HelpCommand,
  ...nodeCommands,
  ...versionCommands,
];

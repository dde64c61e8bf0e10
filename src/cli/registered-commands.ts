/** The areas that bring commands; see the convention in command.ts. */
import { Builtins } from 'clipanion';
import { commands as backendCommands } from '../stand-ins/backend/commands.js';
import { commands as callersCommands } from '../stand-ins/callers/commands.js';
import { commands as linkCommands } from '../stand-ins/link/commands.js';
import type { CommandClass } from './command.js';
import { commands as benchmarkCommands } from '../testing/commands.js';
import { nodeCommands } from './node-command.js';
import { versionCommands } from './version-command.js';

/** Every command of the program. */
export const registeredCommands: readonly CommandClass[] = [
  Builtins.HelpCommand,
  ...nodeCommands,
  ...versionCommands,
  ...backendCommands,
  ...callersCommands,
  ...linkCommands,
  ...benchmarkCommands,
];

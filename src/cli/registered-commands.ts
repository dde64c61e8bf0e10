import { Builtins } from 'clipanion';
import { commands as experimentCommands } from '../emulator/commands.js';
import { commands as backendCommands } from '../stand-ins/backend/commands.js';
import { commands as callersCommands } from '../stand-ins/callers/commands.js';
import { commands as linkCommands } from '../stand-ins/link/commands.js';
import { commands as platformCommands } from '../stand-ins/platform/commands.js';
import { commands as benchmarkCommands } from '../trials/commands.js';
import { commands as membershipCommands } from '../trials/membership-commands.js';
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
import { sidecarCommands } from './sidecar-command.js';
import { lossesCommands } from './losses-command.js';
import { storyCommands } from './story-command.js';
import { statusCommands } from './status-command.js';
import { versionCommands } from './version-command.js';

/** Every command of the program; command.ts describes where commands are declared. */
export const registeredCommands: readonly CommandClass[] = [
  Builtins.HelpCommand,
  ...nodeCommands,
  ...sidecarCommands,
  ...storyCommands,
  ...lossesCommands,
  ConfigCheckCommand,
  ConfigApplyCommand,
  ConfigGetCommand,
  ConfigHistoryCommand,
  ConfigInForceCommand,
  ConfigWatchCommand,
  ...statusCommands,
  ...drainCommands,
  ...versionCommands,
  ...backendCommands,
  ...callersCommands,
  ...linkCommands,
  ...platformCommands,
  ...experimentCommands,
  ...benchmarkCommands,
  ...membershipCommands,
];

#!/usr/bin/env node
/** The `sillshore` program. */
import { runCommandLine } from './run-command-line.js';

process.exit(await runCommandLine(process.argv.slice(2)));

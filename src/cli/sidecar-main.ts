/** The sidecar program: has only the `sidecar` command, so that it starts quickly. */
import './early-signals.js';
import { Cli } from 'clipanion';
import { SidecarCommand } from './sidecar-command.js';

const cli = new Cli({ binaryLabel: 'Sillshore sidecar', binaryName: 'sillshore-sidecar' });
cli.register(SidecarCommand);
// Not awaited: the bundle is a script, in which top-level await is not allowed.
void cli.run(process.argv.slice(2), Cli.defaultContext).then((code) => process.exit(code));

/** The program of the machines: the `sidecar` command alone, so that it starts quickly. */
import './early-signals.js';
import { Cli } from 'clipanion';
import { SidecarCommand } from './sidecar-command.js';

const cli = new Cli({ binaryLabel: 'Sillshore sidecar', binaryName: 'sillshore-sidecar' });
cli.register(SidecarCommand);
// Not awaited: the bundle is a script, which has no await at its top.
void cli.run(process.argv.slice(2), Cli.defaultContext).then((code) => process.exit(code));

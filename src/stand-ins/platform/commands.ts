/** `sillshore emulate platform`. */
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { SillshoreCommand } from '../../cli/command.js';
import { ExitCode } from '../../cli/exit-code.js';
import { splitAddress } from '../../config/settings.js';
import { waitForStopSignal, type ReadyLine } from '../run-until-signal.js';

/** Runs the platform stand-in. */
export class EmulatePlatformCommand extends SillshoreCommand {
  static override paths = [['emulate', 'platform']];
  static override usage = Command.Usage({
    category: 'Stand-ins',
    description: 'run the key-value service and the list of machines for tests and trials',
    details: `
      Runs a key-value service (JSON form of the etcd v3 API) and the list of machines
      (GET /machines) in memory until SIGTERM. Its first line on standard output tells the
      addresses. POST /control switches faults (JSON): outage, slowness, rate limit, answers lost
      after their effect, lag of the list.
    `,
    examples: [
      ['On the usual port', '$0 emulate platform --listen 127.0.0.1:2379'],
      [
        'With its own control port, which stays up in an outage',
        '$0 emulate platform --listen 127.0.0.1:2379 --control 127.0.0.1:2390',
      ],
    ],
  });

  listen = Option.String('--listen', { required: true, description: 'Address, as 127.0.0.1:2379' });
  control = Option.String('--control', '127.0.0.1:0', { description: 'Address of /control alone' });
  seed = Option.String('--seed', '1', { validator: t.isNumber() });

  protected async run(): Promise<ExitCode> {
    const { startPlatformStandIn } = await import('./platform-stand-in.js');
    const { host, port } = splitAddress(this.listen);
    const controlPort = splitAddress(this.control).port;
    const standIn = await startPlatformStandIn({ host, port, controlPort, seed: this.seed });
    const ready: ReadyLine = {
      ready: true,
      address: `${host}:${standIn.port}`,
      control: `${host}:${standIn.controlPort}`,
    };
    this.print(JSON.stringify(ready));
    await waitForStopSignal();
    await standIn.close();
    return ExitCode.Ok;
  }
}

/** Commands of this module. */
export const commands = [EmulatePlatformCommand];

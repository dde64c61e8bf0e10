/** `sillshore emulate platform`. */
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { SillshoreCommand } from '../../cli/command.js';
import { ExitCode } from '../../cli/exit-code.js';
import { splitAddress } from '../../core/host-and-port.js';

const isAddress = t.cascade(t.isString(), [t.matchesRegExp(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/)]);

/** Runs the platform stand-in. */
export class EmulatePlatformCommand extends SillshoreCommand {
  static override paths = [['emulate', 'platform']];
  static override usage = Command.Usage({
    category: 'Stand-ins',
    description: 'run a platform for tests and trials',
    details: `
      Runs a key-value service (JSON form of the etcd v3 API) and the list of machines until
      SIGTERM. Everything is kept in memory. GET /control returns the active faults and
      POST /control switches them; --control gives that endpoint a separate port, which stays up
      during an outage.
    `,
    examples: [
      [
        'A platform for the nodes of an example',
        '$0 emulate platform --listen 127.0.0.1:2379 --control 127.0.0.1:2380',
      ],
    ],
  });

  listen = Option.String('--listen', { required: true, validator: isAddress });
  control = Option.String('--control', '127.0.0.1:0', { validator: isAddress });
  seed = Option.String('--seed', '1', { validator: t.isNumber() });

  protected async run(): Promise<ExitCode> {
    const { startPlatformStandIn } = await import('./platform-stand-in.js');
    const { waitForStopSignal } = await import('../stop-signal.js');
    const { host, port } = splitAddress(this.listen);
    const controlPort = splitAddress(this.control).port;
    const platform = await startPlatformStandIn({ host, port, controlPort, seed: this.seed });
    const address = `${host}:${platform.port}`;
    const control = `${host}:${platform.controlPort}`;
    this.print(JSON.stringify({ ready: true, address, control }));
    await waitForStopSignal();
    await platform.close();
    return ExitCode.Ok;
  }
}

export const commands = [EmulatePlatformCommand];

/** `sillshore emulate link`. */
import { createServer } from 'node:http';
import { Command, Option } from 'clipanion';
import { SillshoreCommand } from '../../cli/command.js';
import { ExitCode } from '../../cli/exit-code.js';

/** Runs a TCP link with faults. */
export class EmulateLinkCommand extends SillshoreCommand {
  static override paths = [['emulate', 'link']];
  static override usage = Command.Usage({
    category: 'Stand-ins',
    description: 'run a TCP link that can be cut or delayed',
    details: `
      Relays TCP connections until SIGTERM. POST /control on the control address switches faults:
      {"cut": true}, {"silentForward": true}, {"silentBackward": true}, {"delayMs": 50},
      and {"silenceOpen": 1} for open connections, or a share of them, that go silent for good.
      Datagrams are not relayed.
    `,
    examples: [
      [
        'A link to a platform',
        '$0 emulate link --listen 127.0.0.1:7001 --target 127.0.0.1:2379 --control 127.0.0.1:7002',
      ],
    ],
  });

  listen = Option.String('--listen', { required: true });
  target = Option.String('--target', { required: true });
  control = Option.String('--control', { required: true });

  protected async run(): Promise<ExitCode> {
    const { startLink, linkControlSchema } = await import('./start-link.js');
    const { closeServer, listenOn, readBody, sendJson } = await import('../http-server.js');
    const { waitForStopSignal } = await import('../stop-signal.js');
    const link = await startLink(this.listen, this.target);
    const server = createServer((request, response) => {
      readBody(request)
        .then((body) => {
          const control = linkControlSchema.parse(JSON.parse(body.toString('utf8')));
          const { silenceOpen, ...change } = control;
          link.control(change as Parameters<typeof link.control>[0]);
          if (silenceOpen !== undefined) link.silenceOpenConnections(silenceOpen);
          sendJson(response, 200, { done: true });
        })
        .catch((error: unknown) => {
          sendJson(response, 400, { error: String(error) });
        });
    });
    const control = await listenOn(server, this.control);
    this.print(JSON.stringify({ ready: true, address: link.address, control }));
    await waitForStopSignal();
    await closeServer(server);
    await link.stop();
    return ExitCode.Ok;
  }
}

export const commands = [EmulateLinkCommand];

/** `sillshore node`. */
import { Command, Option } from 'clipanion';
import { SillshoreCommand } from './command.js';
import { ExitCode } from './exit-code.js';
import { loadSettings, type SettingsOverride } from './settings-source.js';

const integer = /^\d+$/;

/** Runs a node until a stop signal. Flags override the environment, which overrides the file. */
export class NodeCommand extends SillshoreCommand {
  static override paths = [['node']];
  static override usage = Command.Usage({
    description: 'run a node',
    details: `
      Runs one node until SIGTERM or SIGINT, which start a planned stop: running requests
      complete, then the node leaves. A further SIGTERM changes nothing; SIGINT after that stops
      at once.

      Flags override the settings file. Secrets can also come from the environment:
      SILLSHORE_SHARED_KEY (peers.sharedKey), SILLSHORE_PREVIOUS_SHARED_KEY (the only member
      of peers.previousSharedKeys), SILLSHORE_TOKEN (admin.token), and
      the PEM texts of TLS: SILLSHORE_ADMIN_TLS_CERTIFICATE, SILLSHORE_ADMIN_TLS_KEY,
      SILLSHORE_PEER_TLS_CERTIFICATE, SILLSHORE_PEER_TLS_KEY, SILLSHORE_PEER_TLS_CA.
    `,
    examples: [
      ['Run with a settings file', '$0 node --settings node.yaml'],
      ['The same file in another zone', '$0 node --settings node.yaml --id c1 --zone zone-c'],
      ['Flags on top of a file', '$0 node --settings node.yaml --entry 127.0.0.1:8080 --front t1'],
    ],
  });

  settings = Option.String('--settings', { description: 'Settings file, YAML or JSON' });
  nodeId = Option.String('--id', { description: 'node.id' });
  zone = Option.String('--zone', { description: 'node.zone' });
  region = Option.String('--region', { description: 'node.region' });
  fronts = Option.Array('--front', { description: 'node.fronts; repeat for more targets' });
  entry = Option.String('--entry', { description: 'listen.entry, for example 127.0.0.1:8080' });
  admin = Option.String('--admin', { description: 'listen.admin' });
  peer = Option.String('--peer', { description: 'listen.peer' });
  keyValue = Option.Array('--key-value', { description: 'platform.keyValue; repeat for more' });
  machines = Option.String('--machines', { description: 'platform.machines' });
  seeds = Option.Array('--seed', { description: 'peers.seeds; repeat for more' });
  policy = Option.String('--policy', { description: 'overload.policy' });
  logLevel = Option.String('--log-level', { description: 'log.level' });
  stopTimeout = Option.String('--stop-timeout-ms', { description: 'stopTimeoutMs' });

  protected async run(): Promise<ExitCode> {
    const settings = await loadSettings(this.settings, this.overrides());
    if (settings.isErr) return this.fail(settings.error);
    const { runNode } = await import('../node/run-node.js');
    const end = await runNode(settings.value);
    return end === 'stopped' ? ExitCode.Ok : ExitCode.OperationFailed;
  }

  /** PEM texts from the environment, for machines without files. */
  private tlsOverrides(): SettingsOverride[] {
    const { env } = this.context;
    return [
      { path: ['admin', 'tls', 'certificate'], value: env['SILLSHORE_ADMIN_TLS_CERTIFICATE'] },
      { path: ['admin', 'tls', 'key'], value: env['SILLSHORE_ADMIN_TLS_KEY'] },
      { path: ['peers', 'tls', 'certificate'], value: env['SILLSHORE_PEER_TLS_CERTIFICATE'] },
      { path: ['peers', 'tls', 'key'], value: env['SILLSHORE_PEER_TLS_KEY'] },
      { path: ['peers', 'tls', 'ca'], value: env['SILLSHORE_PEER_TLS_CA'] },
    ];
  }

  private overrides(): SettingsOverride[] {
    const { env } = this.context;
    return [
      { path: ['peers', 'sharedKey'], value: env['SILLSHORE_SHARED_KEY'] },
      {
        path: ['peers', 'previousSharedKeys'],
        value: toList(env['SILLSHORE_PREVIOUS_SHARED_KEY']),
      },
      { path: ['admin', 'token'], value: env['SILLSHORE_TOKEN'] },
      ...this.tlsOverrides(),
      { path: ['node', 'id'], value: this.nodeId },
      { path: ['node', 'zone'], value: this.zone },
      { path: ['node', 'region'], value: this.region },
      { path: ['node', 'fronts'], value: this.fronts },
      { path: ['listen', 'entry'], value: this.entry },
      { path: ['listen', 'admin'], value: this.admin },
      { path: ['listen', 'peer'], value: this.peer },
      { path: ['platform', 'keyValue'], value: this.keyValue },
      { path: ['platform', 'machines'], value: this.machines },
      { path: ['peers', 'seeds'], value: this.seeds },
      { path: ['overload', 'policy'], value: this.policy },
      { path: ['log', 'level'], value: this.logLevel },
      { path: ['stopTimeoutMs'], value: parseInteger(this.stopTimeout) },
    ];
  }
}

/** Leaves a text that is not a whole number as it is, so that the validation reports it. */
function parseInteger(text: string | undefined): number | string | undefined {
  return text !== undefined && integer.test(text) ? Number(text) : text;
}

function toList(text: string | undefined): string[] | undefined {
  return text === undefined ? undefined : [text];
}

export const nodeCommands = [NodeCommand];

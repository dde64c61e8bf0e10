/** `sillshore drain target` and `sillshore drain node`. */
import { Command, Option } from 'clipanion';
import type { AdminClient } from './admin-client.js';
import { ExitCode } from './exit-code.js';
import { callAdmin, CONNECTION_HELP, OperatorCommand } from './operator-command.js';

const CATEGORY = 'Operation';

/** Takes a target out of service, or back in. */
export class DrainTargetCommand extends OperatorCommand {
  static override paths = [['drain', 'target']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'stop sending new work to a target',
    details: `
      The node that fronts the target keeps the command in memory. To remove a target
      permanently, apply rules without it.

      ${CONNECTION_HELP}
    `,
    examples: [
      ['Drain a target', '$0 drain target promise-2'],
      ['Take it back into service', '$0 drain target promise-2 --resume'],
    ],
  });

  target = Option.String({ name: 'target' });
  resume = Option.Boolean('--resume', false, { description: 'Cancel an earlier drain' });

  protected async operate(client: AdminClient): Promise<ExitCode> {
    const { target, resume } = this;
    const answer = await callAdmin(client.drainTarget({ target, resume }));
    if (answer.isErr) return this.fail(answer.error);
    this.print(resume ? `target ${target} back in service` : `target ${target} gets no new work`);
    return ExitCode.Ok;
  }
}

/** Starts the planned stop of a node. */
export class DrainNodeCommand extends OperatorCommand {
  static override paths = [['drain', 'node']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'start the planned stop of a node',
    details: `The node that receives the command forwards it to the named node. ${CONNECTION_HELP}`,
    examples: [
      ['The node that receives the command', '$0 drain node --admin 127.0.0.1:9000'],
      ['Another member', '$0 drain node b1 --admin 127.0.0.1:9000'],
    ],
  });

  node = Option.String({ name: 'node', required: false });

  protected async operate(client: AdminClient): Promise<ExitCode> {
    const answer = await callAdmin(client.drainNode({ node: this.node ?? '' }));
    if (answer.isErr) return this.fail(answer.error);
    this.print(`planned stop of node ${answer.value.node} has begun`);
    return ExitCode.Ok;
  }
}

export const drainCommands = [DrainTargetCommand, DrainNodeCommand];

/** `sillshore status`. */
import { toJson } from '@bufbuild/protobuf';
import { Command, Option } from 'clipanion';
import type {
  GetStatusResponse,
  MemberStatus,
  NodeStatus,
  TargetStatus,
} from '../gen/sillshore/admin/v1/admin_pb.js';
import { GetStatusResponseSchema } from '../gen/sillshore/admin/v1/admin_pb.js';
import type { AdminClient } from './admin-client.js';
import { ExitCode } from './exit-code.js';
import { callAdmin, CONNECTION_HELP, OperatorCommand } from './operator-command.js';
import { formatTable } from './table.js';

/** Shows a node, the members that it sees, and the targets. */
export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'show a node, the members that it sees, and its targets',
    details: `
      Limit, running and waiting requests of a target are known at the node that fronts it; the
      table shows the targets that the queried node fronts. \`--all\` queries every member.

      ${CONNECTION_HELP}
    `,
    examples: [
      ['One node', '$0 status --admin 127.0.0.1:9000'],
      ['The targets of the whole fleet, for a program', '$0 status --all --json'],
    ],
  });

  all = Option.Boolean('--all', false, { description: 'Query every member for its targets' });
  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  protected async operate(client: AdminClient): Promise<ExitCode> {
    const answer = await callAdmin(client.getStatus({}));
    if (answer.isErr) return this.fail(answer.error);
    const statuses = this.all ? await this.queryMembers(answer.value) : [answer.value];
    if (this.json) this.printAsJson(statuses);
    else this.printTables(answer.value, statuses);
    return ExitCode.Ok;
  }

  /** Returns the first node's status and those of the other members that respond. */
  private async queryMembers(first: GetStatusResponse): Promise<GetStatusResponse[]> {
    // The token is sent by the scheme that the operator chose for the first node.
    const scheme = this.admin?.startsWith('https:') === true ? 'https://' : 'http://';
    const others = first.members.filter(({ id }) => id !== first.node?.id);
    const otherStatuses = await Promise.all(
      others.map(async ({ id, adminAddress }) => {
        const client = await this.connect(`${scheme}${adminAddress}`, this.token ?? '');
        const answer = await callAdmin(client.getStatus({}));
        if (answer.isErr) this.context.stderr.write(`${id}: ${answer.error.detail}\n`);
        return answer.isOk ? [answer.value] : [];
      }),
    );
    return [first, ...otherStatuses.flat()];
  }

  private printAsJson(statuses: readonly GetStatusResponse[]): void {
    const values = statuses.map((status) =>
      toJson(GetStatusResponseSchema, status, { alwaysEmitImplicit: true }),
    );
    this.printJson(this.all ? { nodes: values } : values[0]);
  }

  private printTables(first: GetStatusResponse, statuses: readonly GetStatusResponse[]): void {
    const nodes = statuses.flatMap(({ node }) => (node === undefined ? [] : [node]));
    const targets = statuses.flatMap((status) => status.targets.filter(({ measured }) => measured));
    this.print(formatNodes(nodes));
    this.print(`\n${formatMembers(first.members)}`);
    this.print(`\n${formatTargets(targets)}`);
  }
}

function formatNodes(nodes: readonly NodeStatus[]): string {
  return formatTable(
    ['NODE', 'ZONE', 'STATE', 'PLATFORM', 'UPTIME S', 'CALLS', 'ATTEMPTS'],
    nodes.map((node) => [
      node.id,
      node.zone,
      node.draining ? 'draining' : node.ready ? 'ready' : 'not ready',
      node.platformAvailable ? 'available' : 'unavailable',
      node.uptimeMs / 1000n,
      node.callsInProgress,
      node.attemptsInProgress,
    ]),
  );
}

function formatMembers(members: readonly MemberStatus[]): string {
  return formatTable(
    ['MEMBER', 'ZONE', 'STATE', 'READY', 'VERSION', 'ENTRY', 'ADMIN', 'LEAVING TARGETS'],
    members.map((member) => [
      member.id,
      member.zone,
      member.state,
      member.ready,
      member.version,
      member.entryAddress,
      member.adminAddress,
      member.leavingTargets.join(' '),
    ]),
  );
}

function formatTargets(targets: readonly TargetStatus[]): string {
  return formatTable(
    ['TARGET', 'NODE', 'SERVICE', 'ZONE', 'STATE', 'LIMIT', 'IN FLIGHT', 'QUEUED'],
    targets.map((target) => [
      target.id,
      target.node,
      target.service,
      target.zone,
      target.state,
      Math.round(target.limit * 10) / 10,
      target.inFlight,
      target.queued,
    ]),
  );
}

export const statusCommands = [StatusCommand];

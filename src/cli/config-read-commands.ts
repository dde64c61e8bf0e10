/** `sillshore config get`, `history`, `in-force` and `watch`. */
import { toJson } from '@bufbuild/protobuf';
import { Command, Option } from 'clipanion';
import {
  GetInForceResponseSchema,
  GetRulesResponseSchema,
} from '../gen/sillshore/admin/v1/admin_pb.js';
import { ListRevisionsResponseSchema } from '../gen/sillshore/admin/v1/admin_pb.js';
import type { AdminClient } from './admin-client.js';
import { ExitCode } from './exit-code.js';
import {
  formatRevisionLine,
  formatRevisions,
  formatZones,
  revisionJson,
} from './format-revision.js';
import { callAdmin, CONNECTION_HELP, OperatorCommand } from './operator-command.js';
import { isWholeNumber } from './validators.js';

const CATEGORY = 'Configuration';
const DEFAULT_HISTORY_LIMIT = 20;
const EMIT_ALL = { alwaysEmitImplicit: true } as const;

/** Prints a tenant's rules. */
export class ConfigGetCommand extends OperatorCommand {
  static override paths = [['config', 'get']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "print a tenant's rules",
    details: `Reads from the platform's key-value service through a node. ${CONNECTION_HELP}`,
    examples: [
      ['The newest revision', '$0 config get --tenant roteiro-vivo'],
      ['An earlier one', '$0 config get --tenant roteiro-vivo --revision 3'],
    ],
  });

  tenant = Option.String('--tenant', { required: true, description: 'Tenant' });
  revision = Option.String('--revision', {
    description: 'Revision; by default the newest',
    validator: isWholeNumber(1),
  });
  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  protected async operate(client: AdminClient): Promise<ExitCode> {
    const { tenant, revision } = this;
    const wanted = revision === undefined ? {} : { revision: BigInt(revision) };
    const answer = await callAdmin(client.getRules({ tenant, ...wanted }));
    if (answer.isErr) return this.fail(answer.error);
    if (this.json) this.printJson(toJson(GetRulesResponseSchema, answer.value, EMIT_ALL));
    else this.context.stdout.write(answer.value.document);
    return ExitCode.Ok;
  }
}

/** Lists a tenant's revisions. */
export class ConfigHistoryCommand extends OperatorCommand {
  static override paths = [['config', 'history']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "list a tenant's revisions, newest first",
    details: CONNECTION_HELP,
    examples: [['The last five', '$0 config history --tenant roteiro-vivo --limit 5']],
  });

  tenant = Option.String('--tenant', { required: true, description: 'Tenant' });
  limit = Option.String('--limit', String(DEFAULT_HISTORY_LIMIT), {
    description: `Maximum number of revisions, 1 to 100, by default ${DEFAULT_HISTORY_LIMIT}`,
    validator: isWholeNumber(1),
  });
  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  protected async operate(client: AdminClient): Promise<ExitCode> {
    const { tenant, limit } = this;
    const answer = await callAdmin(client.listRevisions({ tenant, limit }));
    if (answer.isErr) return this.fail(answer.error);
    if (this.json) this.printJson(toJson(ListRevisionsResponseSchema, answer.value, EMIT_ALL));
    else this.print(formatRevisions(answer.value.revisions));
    return ExitCode.Ok;
  }
}

/** Shows where the newest revision is in force. */
export class ConfigInForceCommand extends OperatorCommand {
  static override paths = [['config', 'in-force']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "show in which zones a tenant's newest revision is in force",
    details: `Works while the platform is down. ${CONNECTION_HELP}`,
    examples: [['By zone', '$0 config in-force --tenant roteiro-vivo']],
  });

  tenant = Option.String('--tenant', { required: true, description: 'Tenant' });
  json = Option.Boolean('--json', false, { description: 'Print JSON, by zone and by node' });

  protected async operate(client: AdminClient): Promise<ExitCode> {
    const answer = await callAdmin(client.getInForce({ tenant: this.tenant }));
    if (answer.isErr) return this.fail(answer.error);
    if (this.json) {
      this.printJson(toJson(GetInForceResponseSchema, answer.value, EMIT_ALL));
      return ExitCode.Ok;
    }
    const { revision } = answer.value;
    if (revision !== undefined) this.print(formatRevisionLine(revision));
    this.print(formatZones(answer.value));
    return ExitCode.Ok;
  }
}

/** Prints revisions as they come into force at a node. */
export class ConfigWatchCommand extends OperatorCommand {
  static override paths = [['config', 'watch']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'print revisions as they come into force at a node',
    details: `Runs until it is interrupted or the node stops. ${CONNECTION_HELP}`,
    examples: [
      ['All tenants', '$0 config watch'],
      ['The next change of one tenant', '$0 config watch --tenant roteiro-vivo --count 2'],
    ],
  });

  tenant = Option.String('--tenant', '', { description: 'Tenant; by default all' });
  count = Option.String('--count', {
    description: 'Exit after this many revisions; the one in force now is the first',
    validator: isWholeNumber(1),
  });
  json = Option.Boolean('--json', false, { description: 'Print one JSON object per line' });

  protected async operate(client: AdminClient): Promise<ExitCode> {
    const ended = await callAdmin(this.watch(client));
    return ended.isErr ? this.fail(ended.error) : ExitCode.Ok;
  }

  private async watch(client: AdminClient): Promise<void> {
    const stop = new AbortController();
    const options = { signal: stop.signal, timeoutMs: 0 };
    let left = this.count ?? Number.POSITIVE_INFINITY;
    try {
      for await (const { revision } of client.watchRevisions({ tenant: this.tenant }, options)) {
        if (revision === undefined) continue;
        this.print(
          this.json ? JSON.stringify(revisionJson(revision)) : formatRevisionLine(revision),
        );
        left -= 1;
        if (left <= 0) return;
      }
    } finally {
      stop.abort();
    }
  }
}

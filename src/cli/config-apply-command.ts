/** `sillshore config apply`. */
import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { Command, Option } from 'clipanion';
import { Result } from 'true-myth';
import { z } from 'zod';
import { parseAndValidate } from '../config/parse-document.js';
import type { ApplyFailure } from '../config/rules-repository.js';
import type { Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { ApplyRulesResponse, GetInForceResponse } from '../gen/sillshore/admin/v1/admin_pb.js';
import type { AdminClient } from './admin-client.js';
import { ExitCode } from './exit-code.js';
import { formatZones, revisionJson } from './format-revision.js';
import {
  callAdmin,
  CONNECTION_HELP,
  isOutcomeUnknown,
  OperatorCommand,
} from './operator-command.js';
import { readTextFile } from './settings-source.js';
import { isWholeNumber } from './validators.js';

/** Maximum calls for one change: the first and its retries. */
const MAX_CALLS = 4;
const DEFAULT_RETRY_DELAY_MS = 500;
const POLL_INTERVAL_MS = 200;
const MAX_OPERATION_ID_LENGTH = 128;

const tenantSchema = z.looseObject({ tenant: z.string() });

/** Makes a rules document the tenant's next revision. */
export class ConfigApplyCommand extends OperatorCommand {
  static override paths = [['config', 'apply']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'apply a rules document',
    details: `
      Makes a rules document the next revision of its tenant, when the current revision is still
      the expected one; otherwise the exit code is 4. When the outcome of the call is
      unknown, the command retries it with the same operation id, which is never applied twice.

      ${CONNECTION_HELP}
    `,
    examples: [
      ['The first revision of a tenant', '$0 config apply rules.yaml --expect 0'],
      ['A change on top of revision 7', '$0 config apply rules.yaml --expect 7 --wait-ms 8000'],
      ['Only check whether the node would accept it', '$0 config apply rules.yaml --check'],
    ],
  });

  file = Option.String({ name: 'file' });
  expect = Option.String('--expect', {
    description: 'Revision that the change builds on; 0 for a new tenant',
    validator: isWholeNumber(0),
  });
  tenant = Option.String('--tenant', { description: "Tenant; by default the document's" });
  operation = Option.String('--operation', {
    description: 'Operation id, to retry an earlier call; by default a new one',
  });
  author = Option.String('--author', { description: 'Who makes the change; by default USER' });
  check = Option.Boolean('--check', false, { description: 'Validate at the node; change nothing' });
  waitMs = Option.String('--wait-ms', {
    description:
      'Wait this long until the revision is in force at every node that the queried node sees',
    validator: isWholeNumber(0),
  });
  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  protected async operate(client: AdminClient): Promise<ExitCode> {
    const document = await readTextFile(this.file, ResultCode.RulesInvalid);
    if (document.isErr) return this.fail(document.error);
    const tenant = this.findTenant(document.value);
    if (tenant.isErr) return this.fail(tenant.error);
    if (this.check) return await this.validate(client, tenant.value, document.value);
    if (this.expect === undefined) return this.refuseUsage('--expect is needed');
    const operationId = this.operation ?? randomUUID();
    if (operationId.length > MAX_OPERATION_ID_LENGTH)
      return this.refuseUsage('--operation too long');
    const applied = await this.apply(client, {
      tenant: tenant.value,
      document: document.value,
      expectedRevision: BigInt(this.expect),
      operationId,
      author: this.author ?? this.context.env['USER'] ?? 'unknown',
    });
    if (applied.isErr) return this.failApply(applied.error, operationId);
    return await this.report(client, tenant.value, applied.value);
  }

  private findTenant(document: string): Result<string, Failure> {
    if (this.tenant !== undefined) return Result.ok(this.tenant);
    const parsed = parseAndValidate(document, tenantSchema, ResultCode.RulesInvalid);
    return parsed.map(({ tenant }) => tenant);
  }

  private async validate(client: AdminClient, tenant: string, document: string): Promise<ExitCode> {
    const checked = await callAdmin(client.validateRules({ tenant, document }));
    if (checked.isErr) return this.fail(checked.error);
    const { services, targets, kinds } = checked.value;
    if (this.json) this.printJson({ valid: true, services, targets, kinds });
    else this.print(`valid: ${services} services, ${targets} targets, ${kinds} kinds`);
    return ExitCode.Ok;
  }

  private async apply(
    client: AdminClient,
    request: Parameters<AdminClient['applyRules']>[0],
  ): Promise<Result<ApplyRulesResponse, ApplyFailure>> {
    let applied = await callAdmin(client.applyRules(request));
    for (let call = 2; call <= MAX_CALLS && applied.isErr; call += 1) {
      if (!isOutcomeUnknown(applied.error)) return applied;
      await delay(applied.error.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS);
      applied = await callAdmin(client.applyRules(request));
    }
    return applied;
  }

  private failApply(failure: ApplyFailure, operationId: string): ExitCode {
    const exitCode = this.fail(failure);
    if (failure.currentRevision !== undefined) {
      this.context.stderr.write(`  current revision: ${failure.currentRevision}\n`);
    }
    if (isOutcomeUnknown(failure)) {
      this.context.stderr.write(
        `  repeat with --operation ${operationId}; the change is never applied twice\n`,
      );
    }
    return exitCode;
  }

  private async report(
    client: AdminClient,
    tenant: string,
    { revision }: ApplyRulesResponse,
  ): Promise<ExitCode> {
    if (revision === undefined) return ExitCode.OperationFailed;
    if (!this.json) {
      this.print(`accepted: tenant ${tenant} revision ${revision.revision}`);
    }
    const { waitMs } = this;
    const inForce =
      waitMs === undefined
        ? undefined
        : await pollInForce(client, tenant, revision.version, waitMs);
    if (this.json) this.printJson({ ...revisionJson(revision), ...inForce?.json });
    else if (inForce !== undefined) this.print(inForce.table);
    return inForce === undefined || inForce.everywhere ? ExitCode.Ok : ExitCode.Unavailable;
  }

  private refuseUsage(message: string): ExitCode {
    this.context.stderr.write(`${message}\n`);
    return ExitCode.InvalidInput;
  }
}

interface InForceReport {
  readonly everywhere: boolean;
  readonly table: string;
  readonly json: object;
}

/** Polls until the version is in force at all nodes that the polled one sees, or the time is up. */
async function pollInForce(
  client: AdminClient,
  tenant: string,
  version: bigint,
  waitMs: number,
): Promise<InForceReport> {
  const end = performance.now() + waitMs;
  let last: GetInForceResponse | undefined;
  do {
    const polled = await callAdmin(client.getInForce({ tenant }));
    if (polled.isOk) last = polled.value;
    if (last !== undefined && isEverywhere(last, version)) break;
    await delay(POLL_INTERVAL_MS);
  } while (performance.now() < end);
  return toInForceReport(last, version);
}

function isEverywhere({ zones, nodes }: GetInForceResponse, version: bigint): boolean {
  return zones.length > 0 && nodes.every((node) => node.version >= version);
}

function toInForceReport(last: GetInForceResponse | undefined, version: bigint): InForceReport {
  if (last === undefined) return { everywhere: false, table: 'not in force yet', json: {} };
  const everywhere = isEverywhere(last, version);
  const zones = last.zones.map(({ zone, nodes, nodesInForce }) => ({ zone, nodes, nodesInForce }));
  return { everywhere, table: formatZones(last), json: { everywhere, zones } };
}

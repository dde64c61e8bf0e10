/** Implements AdminService; proto/sillshore/admin/v1/admin.proto describes its methods. */
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';
import { Result } from 'true-myth';
import { stringify } from 'yaml';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { RulesRepository } from '../config/rules-repository.js';
import type { RevisionRecord } from '../config/config-store.js';
import type { Rules } from '../config/rules.js';
import type {
  AdminService,
  ApplyRulesRequest,
  WatchRevisionsRequest,
} from '../gen/sillshore/admin/v1/admin_pb.js';
import type { AdminNode } from './admin-node.js';
import { grantOf } from './authorization.js';
import { toConnectError, unwrapOrThrow } from './connect-error.js';
import type { DrainCommands } from './drain-commands.js';
import { computeInForce } from './in-force.js';
import { collectStatus } from './node-status.js';
import { toRevision } from './revision-codec.js';
import { watchRevisions } from './revision-watch.js';

const DEFAULT_HISTORY_LIMIT = 20;
const MAX_HISTORY_LIMIT = 100;
/** Concurrent WatchRevisions streams per node. */
const MAX_WATCHES = 64;
const TENANT_NAME = /^[a-z][a-z0-9-]{0,62}$/;

export function createAdminService(
  node: AdminNode,
  drains: DrainCommands,
): ServiceImpl<typeof AdminService> {
  const startedAt = node.clock.now();
  let watches = 0;

  async function* watch(
    { tenant }: WatchRevisionsRequest,
    { signal }: HandlerContext,
  ): AsyncGenerator<{ revision: ReturnType<typeof toRevision> }> {
    if (tenant !== '') requireTenant(tenant);
    const { configStore } = node;
    if (configStore === undefined) throw toConnectError(notReady('configuration'));
    if (watches >= MAX_WATCHES) {
      const options = { retryAfterMs: 1_000 };
      const detail = `${MAX_WATCHES} watches are open`;
      throw toConnectError(createFailure(ResultCode.MailboxFull, detail, options));
    }
    watches += 1;
    try {
      for await (const record of watchRevisions(configStore, tenant || undefined, signal)) {
        yield { revision: toRevision(record) };
      }
    } finally {
      watches -= 1;
    }
  }

  return {
    validateRules: ({ tenant, document }) => {
      requireTenant(tenant);
      return countRules(unwrapOrThrow(requireRepository(node).validate(tenant, document)));
    },
    applyRules: async (request) => {
      const applied = await apply(requireRepository(node), request);
      return { revision: toRevision(unwrapOrThrow(applied)) };
    },
    getRules: async ({ tenant, revision }) => {
      requireTenant(tenant);
      const wanted = revision === undefined ? undefined : toCount(revision, 'revision');
      const record = unwrapOrThrow(await requireRepository(node).get(tenant, wanted));
      return { revision: toRevision(record), document: stringify(record.rules) };
    },
    listRevisions: async ({ tenant, limit }) => {
      requireTenant(tenant);
      const count = toLimit(limit);
      const records = unwrapOrThrow(await requireRepository(node).history(tenant, count));
      return { revisions: records.map(toRevision) };
    },
    watchRevisions: watch,
    getInForce: ({ tenant }) => {
      requireTenant(tenant);
      return describeInForce(node, tenant);
    },
    getStatus: (_request, { values }) => collectStatus(node, startedAt, grantOf(values)),
    drainTarget: async ({ target, resume }) => {
      unwrapOrThrow(await drains.drainTarget({ target, drained: !resume }));
      return {};
    },
    drainNode: async (request) => ({ node: unwrapOrThrow(await drains.drainNode(request.node)) }),
  };
}

function apply(
  repository: RulesRepository,
  request: ApplyRulesRequest,
): Promise<Result<RevisionRecord, Failure>> {
  requireTenant(request.tenant);
  const { tenant, document, operationId, author } = request;
  const expectedRevision = toCount(request.expectedRevision, 'expected_revision');
  return repository.apply({ tenant, document, expectedRevision, operationId, author });
}

function describeInForce(node: AdminNode, tenant: string) {
  const record = node.configStore?.find(tenant);
  if (record === undefined) {
    const detail = `tenant ${tenant} has no rules in force at this node`;
    throw toConnectError(createFailure(ResultCode.RevisionNotFound, detail));
  }
  const { zones, nodes } = computeInForce(record.version, node.membership?.members() ?? []);
  return {
    revision: toRevision(record),
    zones: zones.map((zone) => ({ ...zone, lowestVersion: BigInt(zone.lowestVersion) })),
    nodes: nodes.map((member) => ({ ...member, version: BigInt(member.version) })),
  };
}

function countRules({ services }: Rules) {
  return {
    services: services.length,
    targets: services.reduce((sum, { targets }) => sum + targets.length, 0),
    kinds: services.reduce((sum, { kinds }) => sum + kinds.length, 0),
  };
}

function requireRepository({ rulesRepository }: AdminNode): RulesRepository {
  if (rulesRepository === undefined) throw toConnectError(notReady('rules repository'));
  return rulesRepository;
}

function requireTenant(tenant: string): void {
  if (TENANT_NAME.test(tenant)) return;
  throw invalidField('tenant: lower-case letters, digits and hyphens, 1 to 63, letter first');
}

function toCount(value: bigint, field: string): number {
  const count = Number(value);
  if (Number.isSafeInteger(count) && count >= 0) return count;
  throw invalidField(`${field}: a whole number from 0 to ${Number.MAX_SAFE_INTEGER}`);
}

function toLimit(limit: number): number {
  if (limit === 0) return DEFAULT_HISTORY_LIMIT;
  if (limit > 0 && limit <= MAX_HISTORY_LIMIT) return limit;
  throw invalidField(`limit: 0 to ${MAX_HISTORY_LIMIT}`);
}

function invalidField(detail: string): Error {
  return toConnectError(createFailure(ResultCode.InvalidArgument, detail));
}

function notReady(part: string): Failure {
  const options = { retryAfterMs: 1_000 };
  return createFailure(ResultCode.NotReady, `this node runs without its ${part}`, options);
}

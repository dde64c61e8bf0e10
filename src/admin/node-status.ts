/** Status of a node, of the members that it sees, and of the targets of the rules in force. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Gauge } from 'prom-client';
import type { RevisionRecord } from '../config/config-store.js';
import type { TargetRules } from '../config/rules.js';
import type {
  GetStatusResponseSchema,
  MemberStatusSchema,
  NodeStatusSchema,
  TargetStatusSchema,
} from '../gen/sillshore/admin/v1/admin_pb.js';
import { Placement } from '../core/placement.js';
import type { Member } from '../membership/membership.js';
import { readVersion } from '../node/version.js';
import type { AdminNode } from './admin-node.js';
import type { OperatorGrant } from './authentication.js';
import { includesTenant } from './authorization.js';
import { toRevision } from './revision-codec.js';

/** Data from which the status of each target is built. */
interface TargetSource {
  readonly self: string;
  readonly placement: Placement;
  readonly leaving: ReadonlySet<string>;
  /** Metrics of the targets that this node fronts or has fronted, by target id. */
  readonly limit: ReadonlyMap<string, number>;
  readonly inFlight: ReadonlyMap<string, number>;
  readonly queued: ReadonlyMap<string, number>;
}

/**
 * Collects the status. A token that does not cover all tenants gets this node's status and its own
 * tenants' targets and revisions, but no members.
 *
 * @param startedAt time of the node's start on its clock, in milliseconds
 */
export async function collectStatus(
  node: AdminNode,
  startedAt: number,
  grant: OperatorGrant,
): Promise<MessageInitShape<typeof GetStatusResponseSchema>> {
  const members = node.membership?.members() ?? [];
  const records = (node.configStore?.records() ?? []).filter(({ tenant }) =>
    includesTenant(grant, tenant),
  );
  const source = await readTargetSource(node, members);
  return {
    node: describeNode(node, startedAt),
    members: grant.tenants === 'all' ? members.map(describeMember) : [],
    targets: records.flatMap((record) => describeTargets(record, source)),
    revisions: records.map(toRevision),
  };
}

function describeNode(
  node: AdminNode,
  startedAt: number,
): MessageInitShape<typeof NodeStatusSchema> {
  const { id, zone, region } = node.settings.node;
  return {
    id,
    zone,
    region,
    programVersion: readVersion(),
    ready: isReady(node),
    draining: node.kernel.draining,
    platformAvailable: node.platform?.available ?? false,
    uptimeMs: BigInt(Math.floor(node.clock.now() - startedAt)),
    callsInProgress: node.router?.inProgress ?? 0,
    attemptsInProgress: node.dispatcher?.inProgress ?? 0,
  };
}

/** Whether a node serves callers: its rules are loaded and no planned stop has begun. */
export function isReady(node: AdminNode): boolean {
  return (node.membership?.self().ready ?? false) && !node.kernel.draining;
}

function describeMember(member: Member): MessageInitShape<typeof MemberStatusSchema> {
  const { zone, region, state, ready, peerAddress, entryAddress, adminAddress } = member;
  return {
    id: member.nodeId,
    zone,
    region,
    state,
    ready,
    peerAddress,
    entryAddress,
    adminAddress,
    version: BigInt(member.configVersion),
    leavingTargets: [...member.leavingTargets],
  };
}

function describeTargets(
  record: RevisionRecord,
  source: TargetSource,
): MessageInitShape<typeof TargetStatusSchema>[] {
  const { tenant, rules } = record;
  return rules.services.flatMap((service) =>
    service.targets.map((target) => ({
      ...target,
      tenant,
      service: service.name,
      state: source.leaving.has(target.id) ? 'leaving' : 'serving',
      ...describeLoad(target, source),
    })),
  );
}

/** Leaves out the metrics of a target that this node no longer fronts: they are out of date. */
function describeLoad(
  target: TargetRules,
  { self, placement, limit, inFlight, queued }: TargetSource,
): MessageInitShape<typeof TargetStatusSchema> {
  const { id } = target;
  const node = placement.selectFrontingNode(target)?.nodeId ?? '';
  if (node !== self || !limit.has(id)) return { node, measured: false };
  return {
    node,
    measured: true,
    limit: limit.get(id) ?? 0,
    inFlight: inFlight.get(id) ?? 0,
    queued: queued.get(id) ?? 0,
  };
}

async function readTargetSource(
  { metrics, settings }: AdminNode,
  members: readonly Member[],
): Promise<TargetSource> {
  return {
    self: settings.node.id,
    placement: new Placement(members),
    leaving: new Set(members.flatMap((member) => member.leavingTargets)),
    limit: await readByTarget(metrics.limit),
    inFlight: await readByTarget(metrics.inFlight),
    queued: await readByTarget(metrics.queued),
  };
}

async function readByTarget(gauge: Gauge<'target'>): Promise<ReadonlyMap<string, number>> {
  const { values } = await gauge.get();
  return new Map(values.map(({ labels, value }) => [String(labels.target), value]));
}

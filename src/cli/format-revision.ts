/** Formats revisions, and the zones where they are in force, for output. */
import { toJson, type JsonValue } from '@bufbuild/protobuf';
import {
  RevisionSchema,
  type GetInForceResponse,
  type Revision,
} from '../gen/sillshore/admin/v1/admin_pb.js';
import { formatTable } from './table.js';

/** Converts a revision to the schema's JSON form, in which 64-bit numbers are strings. */
export function revisionJson(revision: Revision): Record<string, JsonValue> {
  return toJson(RevisionSchema, revision, { alwaysEmitImplicit: true }) as Record<
    string,
    JsonValue
  >;
}

export function formatRevisions(revisions: readonly Revision[]): string {
  return formatTable(
    ['REVISION', 'VERSION', 'ACCEPTED', 'AUTHOR', 'OPERATION'],
    revisions.map(({ revision, version, acceptedAtMs, author, operationId }) => [
      revision,
      version,
      new Date(Number(acceptedAtMs)).toISOString(),
      author,
      operationId,
    ]),
  );
}

/** Formats a revision as one line. */
export function formatRevisionLine(revision: Revision): string {
  const { tenant, author, operationId } = revision;
  return `${tenant} revision ${revision.revision} version ${revision.version} by ${author} (${operationId})`;
}

/** Formats a table of the zones where a revision is in force. */
export function formatZones({ zones }: GetInForceResponse): string {
  return formatTable(
    ['ZONE', 'NODES', 'IN FORCE', 'LOWEST VERSION'],
    zones.map(({ zone, nodes, nodesInForce, lowestVersion }) => [
      zone,
      nodes,
      nodesInForce,
      lowestVersion,
    ]),
  );
}

/** Revisions and their spread as text and as JSON. */
import { toJson, type JsonValue } from '@bufbuild/protobuf';
import {
  RevisionSchema,
  type GetInForceResponse,
  type Revision,
} from '../gen/sillshore/admin/v1/admin_pb.js';
import { formatTable } from './table.js';

/** A revision in the schema's JSON form (64-bit numbers are texts). */
export function revisionJson(revision: Revision): Record<string, JsonValue> {
  return toJson(RevisionSchema, revision, { alwaysEmitImplicit: true }) as Record<
    string,
    JsonValue
  >;
}

/** A table of revisions. */
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

/** One line of a watch. */
export function formatRevisionLine(revision: Revision): string {
  const { tenant, author, operationId } = revision;
  return `${tenant} revision ${revision.revision} version ${revision.version} by ${author} (${operationId})`;
}

/** A table of zones. */
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

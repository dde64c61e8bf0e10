import { create } from '@bufbuild/protobuf';
import type { RevisionRecord } from '../config/config-store.js';
import { RevisionSchema, type Revision } from '../gen/sillshore/admin/v1/admin_pb.js';

/** Converts a record to the admin API's `Revision` message, which leaves out the rules. */
export function toRevision(record: RevisionRecord): Revision {
  return create(RevisionSchema, {
    tenant: record.tenant,
    revision: BigInt(record.revision),
    version: BigInt(record.version),
    operationId: record.operationId,
    author: record.author,
    acceptedAtMs: BigInt(record.acceptedAtMs),
  });
}

/**
 * What makes two requests the same: a request that comes again has another identity of its try, and
 * maybe another node, but does the same to a target. Computed from what goes over links anyway, so that
 * nothing more has to be sent.
 */
import { createHash } from 'node:crypto';
import type { RequestKey } from '../../core/quarantine/suspect-table.js';
import type { AttemptCall, RawFields } from '../link/link-messages.js';

/** Length of a hash of content, in hexadecimal digits: 64 bits. */
const CONTENT_LENGTH = 16;
const ALGORITHM = 'sha256';
const HOST = 'host';

/**
 * The key of a call: equal for requests with the same method, host, path, body and calling service, and
 * for others but by rare chance; the same at each node that a call passes.
 */
export function keyOfCall(call: AttemptCall): RequestKey {
  const { method, path, callerService: caller, body, fields } = call;
  const content = createHash(ALGORITHM)
    .update(`${method}\n${hostOf(fields)}\n${path}\n`)
    .update(body)
    .digest('hex')
    .slice(0, CONTENT_LENGTH);
  return { content, caller };
}

function hostOf(fields: RawFields): string {
  for (let index = 0; index + 1 < fields.length; index += 2) {
    if (fields[index]!.toLowerCase() === HOST) return fields[index + 1]!;
  }
  return '';
}

/**
 * Key of a request's content. A request that is sent again has another attempt id, and may start at another
 * node, but has the same effect on a target. The key is computed from fields that go over links anyway, so
 * that nothing more has to be sent.
 */
import { createHash } from 'node:crypto';
import type { RequestKey } from '../../core/quarantine/suspect-table.js';
import type { AttemptCall, RawFields } from '../link/link-messages.js';

/** Length of the content hash, in hexadecimal digits: 64 bits. */
const CONTENT_HASH_DIGITS = 16;
const ALGORITHM = 'sha256';
const HOST = 'host';

/**
 * Computes the key of a call. It is equal for calls with the same method, host, path, body and calling service;
 * other calls share it only by a rare hash collision. Every node that a call passes computes the same key.
 */
export function keyOfCall(call: AttemptCall): RequestKey {
  const { method, path, callerService: caller, body, fields } = call;
  const content = createHash(ALGORITHM)
    .update(`${method}\n${hostOf(fields)}\n${path}\n`)
    .update(body)
    .digest('hex')
    .slice(0, CONTENT_HASH_DIGITS);
  return { content, caller };
}

function hostOf(fields: RawFields): string {
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const name = fields[index]!;
    if (name.length === HOST.length && name.toLowerCase() === HOST) return fields[index + 1]!;
  }
  return '';
}

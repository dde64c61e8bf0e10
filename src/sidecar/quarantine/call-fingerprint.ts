/**
 * What makes two requests the same: a request that comes again has another identity of its try, and
 * maybe another node, but does the same to a target. Computed from what goes over links anyway, so that
 * nothing more has to be sent.
 */
import { createHash } from 'node:crypto';
import type { AttemptCall, RawFields } from '../link/link-messages.js';

/** Length of a fingerprint, in hexadecimal digits: 64 bits of the hash. */
export const FINGERPRINT_LENGTH = 16;
const ALGORITHM = 'sha256';
const HOST = 'host';

/**
 * A text that is equal for requests with the same method, host, path, calling service and body, and for
 * others but by rare chance; the same at each node that a call passes.
 */
export function fingerprintOfCall(call: AttemptCall): string {
  const { method, path, callerService, body, fields } = call;
  return createHash(ALGORITHM)
    .update(`${method}\n${hostOf(fields)}\n${path}\n${callerService}\n`)
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_LENGTH);
}

function hostOf(fields: RawFields): string {
  for (let index = 0; index + 1 < fields.length; index += 2) {
    if (fields[index]!.toLowerCase() === HOST) return fields[index + 1]!;
  }
  return '';
}

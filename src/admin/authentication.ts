/** Bearer tokens of operators (RFC 6750). */
import { createHash, timingSafeEqual } from 'node:crypto';

const BEARER = /^Bearer ([^\s]+)$/i;

/**
 * Whether an `Authorization` field presents the expected token. Digests are compared in
 * constant time, so that neither the token's content nor its length shows in the timing.
 */
export function presentsToken(authorization: string | undefined, expected: string): boolean {
  const presented = BEARER.exec(authorization ?? '')?.[1];
  if (presented === undefined) return false;
  return timingSafeEqual(digest(presented), digest(expected));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Request digest, by which a caller checks that an answer belongs to its own request. */
import { createHash } from 'node:crypto';

/** Baggage member that holds the caller's request id; nodes forward it unchanged. */
export const CALLER_REQUEST_MEMBER = 'caller-request';

/** SHA-256 of method, path and body, in hexadecimal digits. */
export function digestRequest(method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method}\n${path}\n`).update(body).digest('hex');
}

/** Splits a `baggage` field into its members; properties after `;` are dropped. */
export function parseBaggage(value: string | undefined): Map<string, string> {
  const members = new Map<string, string>();
  for (const part of (value ?? '').split(',')) {
    const [member = ''] = part.split(';');
    const separator = member.indexOf('=');
    if (separator < 0) continue;
    members.set(member.slice(0, separator).trim(), member.slice(separator + 1).trim());
  }
  return members;
}

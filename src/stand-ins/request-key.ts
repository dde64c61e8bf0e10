/** Idempotency keys (UUIDv7, RFC 9562) for callers and for the calls of back ends. */
import { createHash } from 'node:crypto';
import type { Random } from '../core/random.js';

/** Creates a UUIDv7 from a time stamp and seeded random numbers. */
export function createRequestKey(unixMs: number, random: Random): string {
  const bytes = new Uint8Array(16);
  for (let index = 6; index < 16; index += 1) bytes[index] = random.nextInt(256);
  writeTimestamp(bytes, unixMs);
  return formatUuid(bytes);
}

/**
 * Derives the key of a downstream call from the key of its parent request, so that a retry of
 * the request makes the call again under the same key.
 */
export function deriveRequestKey(parent: string, service: string): string {
  const digest = createHash('sha256').update(`${parent}\n${service}`).digest();
  const bytes = new Uint8Array(digest.subarray(0, 16));
  const timestamp = Number.parseInt(parent.replace(/-/g, '').slice(0, 12), 16);
  writeTimestamp(bytes, timestamp);
  return formatUuid(bytes);
}

function writeTimestamp(bytes: Uint8Array, unixMs: number): void {
  let rest = unixMs;
  for (let index = 5; index >= 0; index -= 1) {
    bytes[index] = rest % 256;
    rest = Math.floor(rest / 256);
  }
}

function formatUuid(bytes: Uint8Array): string {
  bytes[6] = (bytes[6]! & 0x0f) | 0x70;
  bytes[8] = (bytes[8]! & 0x3f) | 0x80;
  const hex = Buffer.from(bytes).toString('hex');
  const parts = [
    hex.slice(0, 8),
    hex.slice(8, 12),
    hex.slice(12, 16),
    hex.slice(16, 20),
    hex.slice(20),
  ];
  return parts.join('-');
}

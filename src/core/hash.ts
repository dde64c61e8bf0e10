/** A fast 32-bit hash of strings for placement and digests; not for security. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Mixes all bits of a 32-bit number (the finalizer of MurmurHash3). */
export function mix32(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Hash of a string's UTF-16 code units (FNV-1a, then {@link mix32}); 0 to 2^32 - 1. */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mix32(hash);
}

/** Hash of an ordered pair of hashes. */
export function combineHashes(first: number, second: number): number {
  return mix32(Math.imul(first, 0x9e3779b1) ^ second);
}

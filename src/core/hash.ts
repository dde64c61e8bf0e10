/** A fast 32-bit hash of strings for placement and digests; not for security. */
import createXxhash from 'xxhash-wasm';

const { h32 } = await createXxhash();

/** Mixes all bits of a 32-bit number (the finalizer of MurmurHash3). */
export function mix32(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Hash of a string (xxHash32 of its UTF-8 form); 0 to 2^32 - 1. */
export function hash32(text: string): number {
  return h32(text);
}

/** Hash of an ordered pair of hashes. */
export function combineHashes(first: number, second: number): number {
  return mix32(Math.imul(first, 0x9e3779b1) ^ second);
}

/**
 * Order in which requests are refused under overload: criticality first, then a hash of
 * the request id, so that every hop of a call chain refuses the same requests (the
 * business and user priorities of DAGOR, SoCC 2018).
 */
import { CRITICALITIES, rankOf, type RequestContext } from '../request.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 0x1_0000_0000;

/** Hashes text to [0, 1): FNV-1a with the finalizer of MurmurHash3. */
export function hashToUnit(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return ((hash ^ (hash >>> 16)) >>> 0) / UINT32_RANGE;
}

/** Upper bound of the priorities of a request's class, exclusive. */
export function classUpperBound({ criticality }: RequestContext): number {
  const classes = CRITICALITIES.length;
  return (classes - rankOf(criticality)) / classes;
}

/** Threshold that refuses the given share of a request's own class. */
export function thresholdForClassShare(request: RequestContext, share: number): number {
  const classes = CRITICALITIES.length;
  return (classes - 1 - rankOf(request.criticality) + share) / classes;
}

/**
 * Admission priority in [0, 1). Each class takes one quarter, `critical` the highest;
 * within the quarter, the hash of the request id decides. A threshold `t` refuses every
 * request with a priority below `t`, so 0 refuses none.
 */
export function admissionPriority(request: RequestContext): number {
  const classes = CRITICALITIES.length;
  const quarter = classes - 1 - rankOf(request.criticality);
  return (quarter + hashToUnit(request.requestId)) / classes;
}

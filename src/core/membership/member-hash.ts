/** Hashes with which two nodes check whether they see the same members. */
import { combineHashes, hash32 } from '../hash.js';
import type { MemberFacts } from '../member.js';

/**
 * Hash of one member that has not failed. Suspicions and rules versions are left out: they
 * change constantly and are sent by gossip. The hash of several members is the XOR of
 * theirs, so that their order does not matter.
 */
export function hashMember(facts: MemberFacts, leaving: boolean): number {
  const position = `${facts.incarnation}/${facts.sequence}/${leaving}`;
  return combineHashes(hash32(facts.nodeId), hash32(position));
}

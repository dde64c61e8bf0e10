/**
 * Selects the few nodes of each zone that read from the platform for the whole zone, so that the
 * platform's load depends on the number of zones, not of nodes. All nodes make the same selection.
 */
import { combineHashes, hash32 } from '../core/hash.js';
import type { Member, Membership } from './membership.js';

/** Two watchers in each zone, so that one may fail without a gap. */
export const WATCHERS_PER_ZONE = 2;

/** Whether this node is one of its zone's watchers, according to its own view of the zone. */
export function isZoneWatcher(membership: Membership): boolean {
  const self = membership.self();
  const zone = membership.members().filter((member) => isCandidate(member, self));
  const ready = zone.filter((member) => member.ready);
  const candidates = ready.length > 0 ? ready : zone;
  return rank(candidates)
    .slice(0, WATCHERS_PER_ZONE)
    .some(({ nodeId }) => nodeId === self.nodeId);
}

function isCandidate(member: Member, self: Member): boolean {
  return member.zone === self.zone && member.state === 'alive';
}

/** Sorts by rendezvous hashing: joining or leaving nodes do not reorder the others. */
function rank(members: readonly Member[]): readonly Member[] {
  const score = ({ zone, nodeId }: Member) => combineHashes(hash32(zone), hash32(nodeId));
  return [...members].sort((a, b) => score(a) - score(b) || (a.nodeId < b.nodeId ? -1 : 1));
}

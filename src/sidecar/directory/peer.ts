/** Another node as the directory knows it. */
import type { TargetView } from '../../core/overload.js';
import type { SubsetCandidate } from '../../core/routing/target-subset.js';
import type { CancelTimer } from '../../kernel/clock.js';
import type { NodeStatus } from '../link/link-messages.js';
import type { PeerLink } from '../link/peer-link.js';
import type { NodeRecord } from './node-record.js';

/** A node with its record, its link and what it last reported. */
export interface Peer {
  record: NodeRecord;
  /** Rank in this node's order of targets; see {@link subsetRank}. */
  rank: number;
  readonly link: PeerLink;
  /** Last status that the node sent over the link. */
  lastStatus: NodeStatus | undefined;
  /** The store no longer holds the record; the node is kept for a limited time. */
  isRecordExpired: boolean;
  cancelRemoval: CancelTimer;
}

/** A peer as a candidate for the subset of targets that this node uses. */
export interface PeerCandidate extends SubsetCandidate {
  readonly peer: Peer;
}

/** Describes a peer's target for the choice of a subset. */
export function toCandidate(id: string, peer: Peer): PeerCandidate {
  const { record, rank, link, lastStatus } = peer;
  const usable = !link.isKnownUnreachable && (lastStatus?.target ?? record.target) === 'ready';
  return { id, zone: record.zone, rank, usable, peer };
}

/** The peer's target as routing sees it. */
export function viewOf(id: string, peer: Peer): TargetView {
  const { record, lastStatus } = peer;
  const { zone, region } = record;
  return {
    id,
    zone,
    region,
    eligible: isEligible(peer),
    ...withIncarnation(lastStatus?.incarnation),
  };
}

/** A member for the incarnation; none when it is unknown. */
export function withIncarnation(incarnation: string | undefined): {
  readonly incarnation?: string;
} {
  return incarnation === undefined ? {} : { incarnation };
}

function isEligible({ record, link, lastStatus }: Peer): boolean {
  return link.isReachableOrConnecting && (lastStatus?.target ?? record.target) === 'ready';
}

/** Members of the fleet: failure detection and dissemination by gossip, without the platform. */
import type { Member, MutableFacts } from '../core/member.js';

export type { Member, MemberFacts, MemberState, MutableFacts } from '../core/member.js';

/** Live view of the fleet. */
export interface Membership {
  self(): Member;
  /** All members that are not failed, this node included, sorted by nodeId. */
  members(): readonly Member[];
  find(nodeId: string): Member | undefined;
  /** Changes this node's own facts and disseminates them. */
  update(facts: MutableFacts): void;
  /** Adds addresses to join through, such as those from the list of machines. */
  addSeeds(addresses: readonly string[]): void;
  /** Announces a planned stop and waits until it has been disseminated or a short limit is over. */
  leave(): Promise<void>;
  /** Calls `listener` after each change of the view; returns the unsubscribe function. */
  subscribe(listener: () => void): () => void;
}

/** Who is in the fleet: failure detection and dissemination by gossip, without the platform. */

/** State of a member as this node sees it. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'failed';

/** What a node tells about itself. Changes travel with a higher `sequence`. */
export interface MemberFacts {
  readonly nodeId: string;
  /** Set once at process start (Unix ms); a restarted process is a new incarnation. */
  readonly incarnation: number;
  /** Counts changes of the facts and refutations within one incarnation. */
  readonly sequence: number;
  readonly zone: string;
  readonly region: string;
  readonly peerAddress: string;
  readonly entryAddress: string;
  readonly adminAddress: string;
  /** Targets that the node is set to front. */
  readonly fronts: readonly string[];
  /** Targets that the node has seen leaving. */
  readonly leavingTargets: readonly string[];
  /** Highest rules version in force at the node; see ConfigStore. */
  readonly configVersion: number;
  /** Whether the node serves callers (rules loaded, not draining). */
  readonly ready: boolean;
}

/** A member with its state. */
export interface Member extends MemberFacts {
  readonly state: MemberState;
}

/** Facts that the node's other parts set. */
export type MutableFacts = Partial<
  Pick<MemberFacts, 'leavingTargets' | 'configVersion' | 'ready' | 'fronts'>
>;

/** Live view of the fleet. */
export interface Membership {
  self(): Member;
  /** All members that are not failed, this node included, sorted by nodeId. */
  members(): readonly Member[];
  find(nodeId: string): Member | undefined;
  /** Changes this node's own facts and spreads them. */
  update(facts: MutableFacts): void;
  /** Adds addresses to join by (list of machines). */
  addSeeds(addresses: readonly string[]): void;
  /** Announces a planned stop and waits until it has been passed on, or a short limit. */
  leave(): Promise<void>;
  /** Calls `listener` after each change of the view; returns the unsubscribe function. */
  subscribe(listener: () => void): () => void;
}

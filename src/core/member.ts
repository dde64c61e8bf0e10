/** What is known about one node of the fleet; shared by membership, placement and routing. */

/** State of a member as this node sees it. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'failed';

/** What a node reports about itself. Each change is sent with a higher `sequence`. */
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
  /** Targets that the node is configured to front. */
  readonly fronts: readonly string[];
  /** Targets that the node has seen leaving. */
  readonly leavingTargets: readonly string[];
  /**
   * Highest rules version in force at the node; see ConfigStore. It never decreases within an
   * incarnation and is sent separately from `sequence`, so that a change of the rules, which
   * raises it at every node, does not gossip all facts again.
   */
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

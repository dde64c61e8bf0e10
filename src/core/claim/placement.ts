/** Placement of a replica group: which nodes, in which incarnation, hold the claims of an epoch. */

/** One process: a node id and the incarnation to which its memory belongs. */
export interface Incarnation {
  readonly nodeId: string;
  /** Unique per start of the process and increasing; a restarted process has lost its memory. */
  readonly incarnation: number;
}

/**
 * The replicas of one epoch. Epochs follow each other without a gap: the majority of epoch n
 * stops voting and agrees on the one record of epoch n + 1.
 */
export interface PlacementRecord {
  readonly epoch: number;
  readonly members: readonly Incarnation[];
  /**
   * Whether there is no earlier epoch whose tables matter (first start, or start after the loss
   * of a group): its members begin with empty tables.
   */
  readonly fresh: boolean;
  /** Keys issued before this (Unix ms) are refused; 0 unless the group was lost and restarted. */
  readonly floorMs: number;
}

/** Statement of one replica: who it is and which incarnations of its peers it knows. */
export interface Vote extends Incarnation {
  readonly epoch: number;
  /** Incarnations of all members of the epoch, the voter included. */
  readonly known: readonly Incarnation[];
}

/** Size of the smallest set of members that overlaps with any other set of that size. */
export function majorityOf(size: number): number {
  return Math.floor(size / 2) + 1;
}

/** Whether a record names the node, in whatever incarnation. */
export function isMember(record: PlacementRecord, nodeId: string): boolean {
  return record.members.some((member) => member.nodeId === nodeId);
}

function knows(vote: Vote, other: Vote): boolean {
  return vote.known.some(
    (member) => member.nodeId === other.nodeId && member.incarnation === other.incarnation,
  );
}

/** Whether two votes may count together: the same epoch, and each knows the other's incarnation. */
export function agree(left: Vote, right: Vote): boolean {
  return left.epoch === right.epoch && knows(left, right) && knows(right, left);
}

/** How votes are compared; tests replace it to show that a weaker rule is caught. */
export type AgreementRule = (left: Vote, right: Vote) => boolean;

/**
 * Whether the votes contain a majority of the members whose votes agree pairwise.
 *
 * @param votes at most one per member
 */
export function hasMajority(
  votes: readonly Vote[],
  record: PlacementRecord,
  rule: AgreementRule = agree,
): boolean {
  const members = votes.filter(
    (vote) => vote.epoch === record.epoch && isMember(record, vote.nodeId),
  );
  return findAgreeing([], members, majorityOf(record.members.length), rule);
}

/** Searches for `wanted` pairwise agreeing votes; groups are small. */
function findAgreeing(
  chosen: readonly Vote[],
  remaining: readonly Vote[],
  wanted: number,
  rule: AgreementRule,
): boolean {
  if (chosen.length >= wanted) return true;
  return remaining.some((candidate, index) => {
    if (!chosen.every((vote) => rule(vote, candidate))) return false;
    return findAgreeing([...chosen, candidate], remaining.slice(index + 1), wanted, rule);
  });
}

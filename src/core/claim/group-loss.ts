/** Detects that a replica group has permanently lost its memory, from its members' replies. */
import { MAX_CLOCK_SKEW_MS } from './claim-limits.js';
import { majorityOf, type PlacementRecord } from './placement.js';
import type { ReplicaStatus } from './replica-messages.js';

/**
 * Time for which a loss must be seen without interruption, in milliseconds; longer than the lag of
 * the list of machines.
 */
export const LOSS_CONFIRMATION_MS = 30_000;

/** What is known about one member of the record. */
export type MemberObservation =
  /** The member replied. */
  | { readonly type: 'answer'; readonly incarnation: number; readonly status: ReplicaStatus }
  /** The member is unresponsive, but may be paused or partitioned. */
  | { readonly type: 'silent' }
  /** The member failed and is not on the list of machines: it does not return. */
  | { readonly type: 'gone' };

/**
 * Whether no majority of the members can vote in this epoch again, nor agree on the next one.
 *
 * @param observations by node id
 */
export function isGroupLost(
  record: PlacementRecord,
  observations: ReadonlyMap<string, MemberObservation>,
): boolean {
  let restarted = 0;
  let gone = 0;
  for (const member of record.members) {
    const seen = observations.get(member.nodeId);
    if (seen?.type === 'gone') gone += 1;
    if (seen?.type !== 'answer' || seen.incarnation === member.incarnation) continue;
    if (seen.status === 'recovering' || seen.status === 'idle') restarted += 1;
  }
  const size = record.members.length;
  if (size - restarted - gone >= majorityOf(size)) return false;
  const canRecover = restarted === 1 && gone === 0 && size > 1;
  return !canRecover;
}

/**
 * Issue time below which the next group refuses keys: the lost group cannot have granted keys
 * issued later.
 *
 * @param lostSinceMs wall time at which the loss was first seen, Unix milliseconds
 */
export function floorAfterLoss(lostSinceMs: number): number {
  return Math.ceil(lostSinceMs + 2 * MAX_CLOCK_SKEW_MS);
}

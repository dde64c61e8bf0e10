/** Which nodes should hold a group's claims: one per zone, present members before new ones. */
import { GROUP_SIZE } from './claim-limits.js';
import { majorityOf, type PlacementRecord } from './placement.js';

/** A node as placement sees it. */
export interface Candidate {
  readonly nodeId: string;
  readonly zone: string;
  /** Neither failed nor leaving. */
  readonly stays: boolean;
  /** Answers: may take part in a change of epoch even when it leaves. */
  readonly responds: boolean;
}

/**
 * Chooses the members of the next epoch: present members that stay, then nodes of zones that
 * have none, in order of node id.
 *
 * @param current the record in force, if any
 */
export function chooseMembers(
  current: PlacementRecord | undefined,
  candidates: readonly Candidate[],
): readonly string[] {
  const staying = candidates.filter((candidate) => candidate.stays);
  const present = new Set(current?.members.map((member) => member.nodeId));
  const kept = staying.filter((candidate) => present.has(candidate.nodeId));
  const zones = new Set(kept.map((candidate) => candidate.zone));
  const chosen = kept.map((candidate) => candidate.nodeId);
  const sorted = [...staying].sort((a, b) => (a.nodeId < b.nodeId ? -1 : 1));
  for (const candidate of sorted) {
    if (chosen.length >= GROUP_SIZE) break;
    if (zones.has(candidate.zone)) continue;
    zones.add(candidate.zone);
    chosen.push(candidate.nodeId);
  }
  return chosen;
}

/** Whether the record's members differ from the chosen ones and a majority can agree on that. */
export function shouldChange(
  current: PlacementRecord,
  chosen: readonly string[],
  candidates: readonly Candidate[],
): boolean {
  if (chosen.length === 0) return false;
  const present = current.members.map((member) => member.nodeId);
  const differs =
    present.length !== chosen.length || present.some((nodeId) => !chosen.includes(nodeId));
  return differs && canAgree(current, candidates);
}

/** Whether a majority of the members answers, so that a change does not just stop votes. */
export function canAgree(current: PlacementRecord, candidates: readonly Candidate[]): boolean {
  const responding = current.members.filter((member) =>
    candidates.some((candidate) => candidate.nodeId === member.nodeId && candidate.responds),
  );
  return responding.length >= majorityOf(current.members.length);
}

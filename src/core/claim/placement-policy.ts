/** Chooses the nodes that hold a group's claims: one per zone, current members before new ones. */
import type { Member } from '../member.js';
import { selectReplicas } from '../placement.js';
import { GROUP_SIZE } from './claim-limits.js';
import { majorityOf, type PlacementRecord } from './placement.js';

/** A node that may become or remain a member of a group. */
export interface Candidate {
  readonly member: Member;
  /** Neither failed nor leaving. */
  readonly stays: boolean;
  /** Whether the node replies; it can then agree on the next epoch even while it leaves. */
  readonly responds: boolean;
}

/**
 * Chooses the members of the next epoch: current members that stay, then nodes of zones that
 * have none, by rendezvous hashing of group and node.
 *
 * @param current the record in force, if any
 * @param name the group's name
 */
export function chooseMembers(
  current: PlacementRecord | undefined,
  candidates: readonly Candidate[],
  name: string,
): readonly string[] {
  const present = new Set(current?.members.map((member) => member.nodeId));
  const staying = candidates.filter(({ stays }) => stays).map(({ member }) => member);
  const kept = staying.filter(({ nodeId }) => present.has(nodeId));
  const usedZones = new Set(kept.map(({ zone }) => zone));
  const others = staying.filter(({ zone }) => !usedZones.has(zone));
  const zones = new Set(others.map(({ zone }) => zone)).size;
  const wanted = Math.min(GROUP_SIZE - kept.length, zones);
  const added = wanted > 0 ? selectReplicas(name, others, wanted) : [];
  return [...kept, ...added].map(({ nodeId }) => nodeId);
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

/** Whether a majority of the members replies; without one, a change would only stop the votes. */
export function canAgree(current: PlacementRecord, candidates: readonly Candidate[]): boolean {
  const responding = respondingMembers(current, candidates);
  return responding.length >= majorityOf(current.members.length);
}

/** Members of the record that reply, in its order. */
export function respondingMembers(
  current: PlacementRecord,
  candidates: readonly Candidate[],
): readonly string[] {
  const responding = new Set<string>();
  for (const { member, responds } of candidates) if (responds) responding.add(member.nodeId);
  return current.members.map(({ nodeId }) => nodeId).filter((nodeId) => responding.has(nodeId));
}

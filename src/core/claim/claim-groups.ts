/** Divides keys and the nodes of a fleet into replica groups. */
import { hash32 } from '../hash.js';

/** Maximum number of groups in a fleet. */
export const MAX_GROUPS = 64;

/** Nodes per group when the number of groups is not set. */
const NODES_PER_GROUP = 10;

/** Group of a key; the number of groups must be the same at all nodes. */
export function groupOfKey(key: string, groups: number): number {
  return hash32(key) % groups;
}

/** Number of groups for a fleet that starts with `nodes` nodes. */
export function defaultGroupCount(nodes: number): number {
  return Math.min(MAX_GROUPS, Math.max(1, Math.ceil(nodes / NODES_PER_GROUP)));
}

/** Name from which a group's members are chosen among the nodes. */
export function groupName(group: number): string {
  return `claim-group-${group}`;
}

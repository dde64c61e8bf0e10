/** Assignment of tenants to groups; one node counts the limits of each group. */
import { hashToUnit } from '../../core/admission/admission-priority.js';
import { rankNodes } from '../../core/rendezvous.js';

/** Number of groups; the same on all nodes of a fleet. */
export const QUOTA_GROUPS = 4;

/** Group of a tenant. */
export function groupOfTenant(tenant: string): number {
  return Math.floor(hashToUnit(tenant) * QUOTA_GROUPS);
}

/** Nodes in the order in which they are asked to count a group. */
export function orderCandidates(group: number, nodes: readonly string[]): readonly string[] {
  return rankNodes(`quota ${group}`, nodes);
}

/** Where a revision is in force, worked out from what membership carries. */
import type { Member } from '../membership/membership.js';

/** One zone's share of {@link InForce}. */
export interface ZoneInForce {
  readonly zone: string;
  /** Ready nodes; the others serve nobody and do not count. */
  readonly nodes: number;
  readonly nodesInForce: number;
  /** Lowest version over the ready nodes; 0 when the zone has none. */
  readonly lowestVersion: number;
}

/** One ready node's share of {@link InForce}. */
export interface NodeInForce {
  readonly node: string;
  readonly zone: string;
  readonly version: number;
  readonly inForce: boolean;
}

/** A revision's spread. */
export interface InForce {
  readonly zones: readonly ZoneInForce[];
  readonly nodes: readonly NodeInForce[];
}

/**
 * Compares each member's version with a revision's. A node takes revisions in by version, so
 * that one with an equal or higher version has this revision or a newer one of its tenant.
 *
 * @param version the revision's place in the order of all changes
 */
export function computeInForce(version: number, members: readonly Member[]): InForce {
  const nodes = members
    .filter(({ ready }) => ready)
    .map((member) => ({
      node: member.nodeId,
      zone: member.zone,
      version: member.configVersion,
      inForce: member.configVersion >= version,
    }));
  const names = [...new Set(members.map(({ zone }) => zone))].sort();
  const zones = names.map((zone) => summarize(zone, nodes));
  return { zones, nodes };
}

function summarize(zone: string, all: readonly NodeInForce[]): ZoneInForce {
  const nodes = all.filter((node) => node.zone === zone);
  return {
    zone,
    nodes: nodes.length,
    nodesInForce: nodes.filter(({ inForce }) => inForce).length,
    lowestVersion: nodes.length === 0 ? 0 : Math.min(...nodes.map(({ version }) => version)),
  };
}

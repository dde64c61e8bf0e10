/** Computes where a revision is in force from the versions that the members report. */
import type { Member } from '../membership/membership.js';

/** In how many nodes of one zone a revision is in force. */
export interface ZoneInForce {
  readonly zone: string;
  /** Ready nodes; the others serve no callers and do not count. */
  readonly nodes: number;
  readonly nodesInForce: number;
  /** Lowest version of the ready nodes; 0 when the zone has none. */
  readonly lowestVersion: number;
}

/** Whether a revision is in force at one ready node. */
export interface NodeInForce {
  readonly node: string;
  readonly zone: string;
  readonly version: number;
  readonly inForce: boolean;
}

/** Where a revision is in force, by zone and by node. */
export interface InForce {
  readonly zones: readonly ZoneInForce[];
  readonly nodes: readonly NodeInForce[];
}

/**
 * Compares each member's version with a revision's. Nodes apply revisions in order of version, so
 * a node with an equal or higher version has this revision or a newer one of its tenant.
 *
 * @param version the revision's position in the order of all tenants' changes
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

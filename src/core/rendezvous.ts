/** Rendezvous hashing: all nodes with the same list choose the same node for a key. */
import { hashToUnit } from './admission/admission-priority.js';

/** Nodes in the order in which they are responsible for a key. */
export function rankNodes(key: string, nodes: readonly string[]): readonly string[] {
  const ranked = nodes.map((node) => ({ node, rank: hashToUnit(`${key} ${node}`) }));
  ranked.sort((one, other) => one.rank - other.rank);
  return ranked.map(({ node }) => node);
}

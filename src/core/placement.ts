/**
 * Which node fronts a target (docs/ARCHITECTURE.md, step 6). Every node computes it from the
 * members that it sees; a node that is sent an attempt serves it, also when views differ.
 */
import createXxhash from 'xxhash-wasm';

const { h32 } = await createXxhash();

/** A member as placement sees it. */
export interface PlacementMember {
  readonly nodeId: string;
  readonly zone: string;
  /** Targets that the member is set to front. */
  readonly fronts: readonly string[];
}

/** Placement over one set of members that can take work. */
export class Placement {
  private readonly byTarget = new Map<string, PlacementMember[]>();
  private readonly byZone = new Map<string, PlacementMember[]>();

  constructor(private readonly members: readonly PlacementMember[]) {
    for (const member of members) {
      append(this.byZone, member.zone, member);
      for (const target of member.fronts) append(this.byTarget, target, member);
    }
  }

  /**
   * The node that fronts a target: the member set to front it, else the member of the target's
   * zone with the highest rendezvous hash, else of any zone; undefined without members.
   */
  nodeFor(target: string, zone: string): string | undefined {
    const candidates = this.byTarget.get(target) ?? this.byZone.get(zone) ?? this.members;
    return highestHash(target, candidates);
  }
}

function append<K, V>(lists: Map<K, V[]>, key: K, value: V): void {
  const list = lists.get(key);
  if (list === undefined) lists.set(key, [value]);
  else list.push(value);
}

function highestHash(target: string, members: readonly PlacementMember[]): string | undefined {
  const [only] = members;
  if (members.length === 1) return only?.nodeId;
  let best: { nodeId: string; score: number } | undefined;
  for (const { nodeId } of members) {
    const score = h32(`${nodeId}\n${target}`);
    const better =
      best === undefined || score > best.score || (score === best.score && nodeId < best.nodeId);
    if (better) best = { nodeId, score };
  }
  return best?.nodeId;
}

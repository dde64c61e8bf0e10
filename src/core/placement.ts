/**
 * Placement by rendezvous hashing: every node computes the same result from the same view
 * of the members, and the loss of a member moves only what it held. See docs/ARCHITECTURE.md,
 * path step 6, and docs/design/membership.md.
 */
import { combineHashes, hash32 } from './hash.js';
import type { Member } from './member.js';

/** The properties of a target that placement uses. */
export interface PlacedTarget {
  readonly id: string;
  readonly zone: string;
}

interface Candidate {
  readonly member: Member;
  readonly hash: number;
}

/**
 * The placement for one view of the members. Create one per view and reuse it until the view
 * changes: a choice then costs one hash and a scan of the zone's members.
 */
export class Placement {
  private readonly ready: readonly Candidate[];
  private readonly zones: readonly (readonly Candidate[])[];
  private readonly readyByZone = new Map<string, Candidate[]>();
  private readonly readyByTarget = new Map<string, Candidate[]>();

  constructor(members: readonly Member[]) {
    const present = members
      .filter(isPresent)
      .map((member) => ({ member, hash: hash32(member.nodeId) }));
    const byZone = new Map<string, Candidate[]>();
    for (const candidate of present) append(byZone, candidate.member.zone, candidate);
    this.zones = [...byZone.values()];
    this.ready = present.filter(({ member }) => member.ready);
    for (const candidate of this.ready) {
      append(this.readyByZone, candidate.member.zone, candidate);
      for (const target of candidate.member.fronts) {
        append(this.readyByTarget, target, candidate);
      }
    }
  }

  /**
   * The node that fronts a target: a ready member whose settings list it, else the ready
   * node of its zone with the highest weight, else that of any zone.
   *
   * @returns undefined when no member is ready
   */
  selectFrontingNode({ id, zone }: PlacedTarget): Member | undefined {
    const candidates = this.readyByTarget.get(id) ?? this.readyByZone.get(zone) ?? this.ready;
    return highestWeighted(candidates, id);
  }

  /**
   * The replicas of a key, most preferred first. Each choice takes the highest weight among
   * the members of the zones used least so far, and among those of the regions used least.
   *
   * @param count replicas wanted; fewer are returned when there are not as many members
   */
  selectReplicas(key: string, count: number): readonly Member[] {
    const keyHash = hash32(key);
    const regionUses = new Map<string, number>();
    const zones = this.zones.map((candidates) => new ZoneChoice(candidates, keyHash));
    const replicas: Member[] = [];
    while (replicas.length < count) {
      const zone = preferredZone(zones, regionUses);
      if (zone === undefined) break;
      const { member } = zone.take();
      replicas.push(member);
      regionUses.set(member.region, (regionUses.get(member.region) ?? 0) + 1);
    }
    return replicas;
  }
}

/** The best remaining candidate of one zone, for one key. */
class ZoneChoice {
  uses = 0;
  best: Candidate | undefined;
  bestWeight = -1;
  private readonly taken = new Set<Candidate>();

  constructor(
    private readonly candidates: readonly Candidate[],
    private readonly keyHash: number,
  ) {
    this.findBest();
  }

  /** Removes and returns the best candidate; there must be one. */
  take(): Candidate {
    const taken = this.best!;
    this.taken.add(taken);
    this.uses += 1;
    this.findBest();
    return taken;
  }

  private findBest(): void {
    this.best = undefined;
    this.bestWeight = -1;
    for (const candidate of this.candidates) {
      if (this.taken.has(candidate)) continue;
      const weight = combineHashes(this.keyHash, candidate.hash);
      if (isPreferred(candidate, weight, this.best, this.bestWeight)) {
        this.best = candidate;
        this.bestWeight = weight;
      }
    }
  }
}

/** The zone used least, of the region used least, with the highest weight. */
function preferredZone(
  zones: readonly ZoneChoice[],
  regionUses: ReadonlyMap<string, number>,
): ZoneChoice | undefined {
  const usesOfRegion = (zone: ZoneChoice): number =>
    regionUses.get(zone.best?.member.region ?? '') ?? 0;
  let preferred: ZoneChoice | undefined;
  for (const zone of zones) {
    if (zone.best === undefined) continue;
    if (preferred === undefined) {
      preferred = zone;
      continue;
    }
    const order = zone.uses - preferred.uses || usesOfRegion(zone) - usesOfRegion(preferred);
    const isBetter = isPreferred(zone.best, zone.bestWeight, preferred.best, preferred.bestWeight);
    if (order < 0 || (order === 0 && isBetter)) preferred = zone;
  }
  return preferred;
}

/** Higher weight first; equal weights are rare and ordered by node id, so that nodes agree. */
function isPreferred(
  candidate: Candidate,
  weight: number,
  best: Candidate | undefined,
  bestWeight: number,
): boolean {
  if (best === undefined || weight > bestWeight) return true;
  return weight === bestWeight && candidate.member.nodeId < best.member.nodeId;
}

/** {@link Placement.selectFrontingNode} for a view that is used once. */
export function selectFrontingNode(
  target: PlacedTarget,
  members: readonly Member[],
): Member | undefined {
  return new Placement(members).selectFrontingNode(target);
}

/** {@link Placement.selectReplicas} for a view that is used once. */
export function selectReplicas(
  key: string,
  members: readonly Member[],
  count: number,
): readonly Member[] {
  return new Placement(members).selectReplicas(key, count);
}

/** A suspected member keeps its place until it has failed; a leaving one gives it up at once. */
function isPresent({ state }: Member): boolean {
  return state === 'alive' || state === 'suspect';
}

function highestWeighted(candidates: readonly Candidate[], key: string): Member | undefined {
  return new ZoneChoice(candidates, hash32(key)).best?.member;
}

function append(groups: Map<string, Candidate[]>, key: string, candidate: Candidate): void {
  const group = groups.get(key);
  if (group === undefined) groups.set(key, [candidate]);
  else group.push(candidate);
}

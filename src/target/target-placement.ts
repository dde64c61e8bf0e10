/** Which node fronts each target now, by membership and rules. */
import { Placement } from '../core/placement.js';
import type { TargetView } from '../core/overload.js';
import type { ConfigStore } from '../config/config-store.js';
import type { ServiceRules } from '../config/rules.js';
import type { Membership } from '../membership/membership.js';

/** Placement as one node sees it; call {@link TargetPlacement.refresh} after members change. */
export class TargetPlacement {
  private placement = new Placement([]);
  private leaving: ReadonlySet<string> = new Set();

  constructor(
    private readonly membership: Membership,
    private readonly config: ConfigStore,
  ) {
    this.refresh();
  }

  /** Reads the members again. */
  refresh(): void {
    const members = this.membership.members();
    this.placement = new Placement(members);
    this.leaving = new Set(members.flatMap((member) => member.leavingTargets));
  }

  /** The node that fronts a target, if any can. */
  nodeFor(target: string): string | undefined {
    const located = this.config.findTarget(target);
    return located === undefined
      ? undefined
      : this.placement.selectFrontingNode(located.target)?.nodeId;
  }

  /** Targets of all tenants that are placed at a node. */
  placedAt(nodeId: string): readonly string[] {
    return this.config
      .records()
      .flatMap(({ rules }) => rules.services)
      .flatMap(({ targets }) => targets)
      .filter((target) => this.placement.selectFrontingNode(target)?.nodeId === nodeId)
      .map(({ id }) => id);
  }

  /** A service's targets as routing sees them. */
  viewsOf(service: ServiceRules): readonly TargetView[] {
    return service.targets.map(({ id, zone }) => ({
      id,
      zone,
      region: this.regionOf(zone),
      eligible:
        !this.leaving.has(id) && this.placement.selectFrontingNode({ id, zone }) !== undefined,
    }));
  }

  /** A zone's region is that of its members; a zone without members counts as its own. */
  private regionOf(zone: string): string {
    const member = this.membership.members().find((candidate) => candidate.zone === zone);
    return member?.region ?? zone;
  }
}

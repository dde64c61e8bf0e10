/**
 * The nodes' view of the targets: list of machines, leaving targets, lost zones, apparent health.
 */
import type { TargetView } from '../core/overload.js';
import { chooseSubset, subsetRank } from '../core/routing/target-subset.js';
import type { Deployment } from './deployment.js';

/** Why a target is not eligible. */
export type Exclusion = 'unlisted' | 'leaving' | 'zone-lost' | 'looks-down';

/** View of all targets that the nodes share; changes show at once, so callers apply the delays. */
export class TargetDirectory {
  private readonly exclusions = new Map<string, Set<Exclusion>>();
  private readonly views = new Map<string, readonly TargetView[]>();

  constructor(private readonly deployment: Deployment) {}

  /** Returns the targets of a service as the nodes see them now. */
  viewOf(service: string): readonly TargetView[] {
    let view = this.views.get(service);
    if (view === undefined) {
      view = this.buildView(service);
      this.views.set(service, view);
    }
    return view;
  }

  /** Returns the targets of a service that one node uses: all, or its subset of them. */
  viewOfNode(service: string, node: string, zone: string): readonly TargetView[] {
    const all = this.viewOf(service);
    if (!this.deployment.subsets) return all;
    const candidates = all.map((view) => ({
      ...view,
      rank: subsetRank(node, view.id, 1),
      usable: view.eligible,
    }));
    return chooseSubset(candidates, zone);
  }

  /** Sets or clears one reason why a target is not eligible. */
  set(target: string, exclusion: Exclusion, excluded: boolean): void {
    const reasons = this.exclusions.get(target) ?? new Set();
    if (excluded) reasons.add(exclusion);
    else reasons.delete(exclusion);
    this.exclusions.set(target, reasons);
    this.views.clear();
  }

  private buildView(service: string): readonly TargetView[] {
    const regions = new Map(this.deployment.zones.map(({ name, region }) => [name, region]));
    const model = this.deployment.services.find(({ name }) => name === service);
    return (model?.targets ?? []).map(({ id, zone }) => ({
      id,
      zone,
      region: regions.get(zone) ?? '',
      eligible: (this.exclusions.get(id)?.size ?? 0) === 0,
    }));
  }
}

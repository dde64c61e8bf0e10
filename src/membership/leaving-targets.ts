/**
 * The targets that this node reports as leaving in its member facts: those that its target side
 * has seen leaving, and those that the list of machines shows as leaving.
 */
import type { Membership } from './membership.js';

/** Part of the node that has learned that a target is leaving. */
export type LeavingSource = 'target-side' | 'machine-list';

/** Publishes the union of what all sources report. */
export class LeavingTargets {
  private readonly bySource = new Map<LeavingSource, readonly string[]>();

  constructor(private readonly membership: Membership) {}

  /** Replaces the targets of one source; publishes the union when the facts differ from it. */
  set(source: LeavingSource, targets: readonly string[]): void {
    this.bySource.set(source, targets);
    const union = [...new Set([...this.bySource.values()].flat())].sort();
    const published = [...this.membership.self().leavingTargets].sort();
    if (union.join(' ') === published.join(' ')) return;
    this.membership.update({ leavingTargets: union });
  }
}

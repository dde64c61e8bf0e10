/**
 * The targets that this node tells as leaving in its member facts, put together from several
 * sources: what the target side has seen and what the list of machines says.
 */
import type { Membership } from './membership.js';

/** Who has seen a target leaving. */
export type LeavingSource = 'target-side' | 'machine-list';

/** Publishes the union of all sources. */
export class LeavingTargets {
  private readonly bySource = new Map<LeavingSource, readonly string[]>();

  constructor(private readonly membership: Membership) {}

  /** Replaces what one source has seen; publishes when the facts differ from the union. */
  set(source: LeavingSource, targets: readonly string[]): void {
    this.bySource.set(source, targets);
    const union = [...new Set([...this.bySource.values()].flat())].sort();
    const published = [...this.membership.self().leavingTargets].sort();
    if (union.join(' ') === published.join(' ')) return;
    this.membership.update({ leavingTargets: union });
  }
}

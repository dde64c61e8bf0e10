/** The targets of one service as a router knows them, and which of them may be chosen. */
import type { TargetView } from '../overload.js';
import { TargetState } from './target-state.js';

/** All known targets of a service. */
export class TargetSet {
  private readonly byId = new Map<string, TargetState>();
  private eligibleTargets: readonly TargetState[] = [];

  /** Replaces the targets; those that stay keep their state. */
  update(now: number, views: readonly TargetView[]): void {
    const isFirst = this.byId.size === 0;
    const ids = new Set(views.map(({ id }) => id));
    for (const id of this.byId.keys()) if (!ids.has(id)) this.byId.delete(id);
    for (const view of views) this.updateOne(isFirst ? -Infinity : now, view);
    this.eligibleTargets = [...this.byId.values()].filter(({ view }) => view.eligible);
  }

  find(id: string): TargetState | undefined {
    return this.byId.get(id);
  }

  /** Targets that may take requests at all. */
  eligible(): readonly TargetState[] {
    return this.eligibleTargets;
  }

  /**
   * Eligible targets without the outliers. An ejection for unanswered attempts applies only
   * while most targets are not ejected, and none applies when no target would be left, so that
   * a service always has targets.
   */
  healthy(now: number): readonly TargetState[] {
    const eligible = this.eligible();
    if (!eligible.some(({ health }) => health.isEjected(now))) return eligible;
    const ejected = eligible.filter(({ health }) => health.isEjected(now));
    const mostRemain = ejected.length * 2 < eligible.length;
    const kept = eligible.filter(
      ({ health }) => !health.isEjected(now) || !(mostRemain || health.isUnreachable),
    );
    return kept.length > 0 ? kept : eligible;
  }

  private updateOne(joinedAt: number, view: TargetView): void {
    const known = this.byId.get(view.id);
    if (known === undefined || isNewIncarnation(known.view, view)) {
      this.byId.set(view.id, new TargetState(view, joinedAt));
      return;
    }
    if (view.eligible && !known.view.eligible) known.joinedAt = joinedAt;
    known.view = view;
  }
}

/** A restarted target is slow at first, and what is known about it no longer applies. */
function isNewIncarnation(known: TargetView, view: TargetView): boolean {
  if (known.incarnation === undefined || view.incarnation === undefined) return false;
  return known.incarnation !== view.incarnation;
}

/** The platform's list of machines; readers see a change only after the lag. */
import type { Machine } from '../../etcd/platform-client.js';

/** Longest lag with which the list can be read. */
export const MAX_LAG_MS = 600_000;

interface Version {
  readonly at: number;
  readonly machines: readonly Machine[];
}

/** Keeps the versions of the list that can still be read. */
export class MachineList {
  private versions: Version[];

  constructor(machines: readonly Machine[]) {
    this.versions = [{ at: Number.NEGATIVE_INFINITY, machines }];
  }

  /** Replaces the list; readers see it once the lag has passed. */
  set(now: number, machines: readonly Machine[]): void {
    const outdated = this.versions.findLastIndex(({ at }) => at <= now - MAX_LAG_MS);
    this.versions = [...this.versions.slice(Math.max(0, outdated)), { at: now, machines }];
  }

  /** Returns the list as it was `lagMs` ago. */
  read(now: number, lagMs: number): readonly Machine[] {
    const visible = this.versions.filter(({ at }) => at <= now - lagMs);
    return (visible.at(-1) ?? this.versions[0]!).machines;
  }
}

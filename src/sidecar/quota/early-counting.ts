/**
 * Begins to count limits before the first request asks for it. Buckets are empty when counting begins, so
 * that without it callers would be refused just when traffic begins.
 */
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import { groupOfTenant, orderCandidates } from './quota-groups.js';

/** Interval of looking for rules, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** Time for the nodes of a starting fleet to find each other, in milliseconds. */
const SETTLE_MS = 750;

/** What early counting works with. */
export interface EarlyCountingOptions {
  readonly node: string;
  readonly clock: Clock;
  /** Tenants with a limit; undefined while no rules are known. */
  limitedTenants(): readonly string[] | undefined;
  /** All nodes that can be asked to count, this one included. */
  candidates(): readonly string[];
  /** Begins to count a group at this node, unless another one counts it. */
  begin(group: number): Promise<void>;
}

/** See the module comment. */
export class EarlyCounting {
  private cancelTimer: CancelTimer = () => {};

  constructor(private readonly options: EarlyCountingOptions) {}

  /** Waits for rules and begins the groups that this node is the first to be asked for, once. */
  start(): void {
    this.schedule(CHECK_INTERVAL_MS, () => {
      if (this.options.limitedTenants() === undefined) this.start();
      else this.beginAfterSettling();
    });
  }

  /** Begins nothing any more. */
  stop(): void {
    this.cancelTimer();
  }

  private beginAfterSettling(): void {
    this.schedule(SETTLE_MS, () => {
      for (const group of this.ownGroups()) void this.options.begin(group);
    });
  }

  private ownGroups(): ReadonlySet<number> {
    const { node, limitedTenants, candidates } = this.options;
    const groups = new Set((limitedTenants() ?? []).map(groupOfTenant));
    const nodes = candidates();
    for (const group of [...groups]) {
      if (orderCandidates(group, nodes)[0] !== node) groups.delete(group);
    }
    return groups;
  }

  private schedule(delayMs: number, callback: () => void): void {
    this.cancelTimer = this.options.clock.schedule(delayMs, callback);
  }
}

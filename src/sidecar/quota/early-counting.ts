/**
 * Starts counting tenants' limits before the first request needs it. Buckets are empty when counting starts;
 * without an early start callers would be refused as soon as traffic starts.
 */
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import { groupOfTenant, orderCandidates } from './quota-groups.js';

/** Interval at which a node checks whether rules are known, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** Time for the nodes of a starting fleet to discover each other, in milliseconds. */
const SETTLE_MS = 750;

export interface EarlyCountingOptions {
  readonly node: string;
  readonly clock: Clock;
  /** Tenants with a limit; undefined while no rules are known. */
  limitedTenants(): readonly string[] | undefined;
  /** All nodes that can be asked to count, this one included. */
  candidates(): readonly string[];
  /** Starts counting a group at this node, unless another node counts it. */
  begin(group: number): Promise<void>;
}

/** Starts counting once after rules are known. */
export class EarlyCounting {
  private cancelTimer: CancelTimer = () => {};

  constructor(private readonly options: EarlyCountingOptions) {}

  /** Waits for rules, then starts counting, once, the groups for which this node is asked first. */
  start(): void {
    this.schedule(CHECK_INTERVAL_MS, () => {
      if (this.options.limitedTenants() === undefined) this.start();
      else this.startAfterSettling();
    });
  }

  /** Cancels the start of counting if it is still pending. */
  stop(): void {
    this.cancelTimer();
  }

  private startAfterSettling(): void {
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

/** Counts the limits of groups of tenants at this node; starts counting a group when a node asks for it. */
import {
  QuotaCounter,
  type QuotaGrant,
  type QuotaLimit,
  type QuotaRequest,
} from '../../core/quota/quota-counter.js';
import type { Clock } from '../../kernel/clock.js';
import type { EventLog } from '../../kernel/event.js';
import type { MetadataStore } from '../../store/metadata-store.js';
import { QUOTA_GROUPS } from './quota-groups.js';
import { QUOTA_KEY_PREFIX, QuotaLease, type ReadGroupKey } from './quota-lease.js';
import type { OnQuotaReply, QuotaPort, QuotaQuery } from './quota-messages.js';

export interface QuotaCountingOptions {
  readonly node: string;
  readonly store: MetadataStore;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Limit of a tenant in the rules in force; `unknown`: no such tenant; undefined: no limit. */
  limitOf(tenant: string): QuotaLimit | undefined | 'unknown';
}

/** Retry delay for callers of a tenant that this node's rules lack, in milliseconds. */
const UNKNOWN_RETRY_MS = 200;

interface Group {
  readonly lease: QuotaLease;
  counter: QuotaCounter;
}

/** Answers quota queries for the groups whose lease this node holds. */
export class QuotaCounting implements QuotaPort {
  private readonly groups: readonly Group[];
  /** Listing of all keys that the groups begun in the same turn of the event loop share. */
  private listing: ReturnType<MetadataStore['list']> | undefined;

  constructor(private readonly options: QuotaCountingOptions) {
    this.groups = Array.from({ length: QUOTA_GROUPS }, (_, group) => this.createGroup(group));
  }

  queryQuota(query: QuotaQuery, onReply: OnQuotaReply): void {
    const group = this.groups[query.group];
    if (group === undefined) onReply({ type: 'not-counting' });
    else if (group.lease.isHeld) onReply(this.reply(group, query));
    else void this.acquireThenReply(group, query, onReply);
  }

  /**
   * Starts counting a group before a query for it. Groups that are begun together are read with one call: in
   * a starting fleet each node knows only itself and begins all of them.
   */
  async begin(group: number): Promise<void> {
    await this.groups[group]?.lease.acquire(this.readFromListing);
  }

  /** Called when the store was restored from an older copy. */
  onStoreEraChanged(): void {
    for (const { lease } of this.groups) lease.reset();
  }

  /** Releases all groups. */
  async close(): Promise<void> {
    await Promise.all(this.groups.map(({ lease }) => lease.close()));
  }

  private readonly readFromListing: ReadGroupKey = async (key) => {
    if (this.listing === undefined) {
      this.listing = this.options.store.list(QUOTA_KEY_PREFIX);
      // A later group needs an answer that is not older than its own request.
      queueMicrotask(() => {
        this.listing = undefined;
      });
    }
    const listing = await this.listing;
    return listing.map(({ items }) => items.find((item) => item.key === key));
  };

  private createGroup(index: number): Group {
    const { node, store, clock, log } = this.options;
    const group: Group = {
      counter: new QuotaCounter(clock.bootNow()),
      lease: new QuotaLease({
        ...{ group: index, node, store, clock, log },
        onAcquired: () => {
          group.counter = new QuotaCounter(clock.bootNow());
        },
      }),
    };
    return group;
  }

  private async acquireThenReply(
    group: Group,
    query: QuotaQuery,
    onReply: OnQuotaReply,
  ): Promise<void> {
    await group.lease.acquire();
    onReply(this.reply(group, query));
  }

  private reply({ lease, counter }: Group, { requests }: QuotaQuery): Parameters<OnQuotaReply>[0] {
    if (lease.isHeld) {
      return { type: 'grants', grants: requests.map((request) => this.grant(counter, request)) };
    }
    const { holder } = lease;
    return holder === undefined ? { type: 'not-counting' } : { type: 'not-counting', holder };
  }

  private grant(counter: QuotaCounter, request: QuotaRequest): QuotaGrant {
    const { tenant, waiting, ahead } = request;
    const limit = this.options.limitOf(tenant);
    if (limit === 'unknown') return { tenant, granted: 0, retryAfterMs: UNKNOWN_RETRY_MS };
    if (limit === undefined) return { tenant, granted: waiting + ahead, retryAfterMs: 0 };
    return counter.grant(this.options.clock.bootNow(), request, limit);
  }
}

/** Requests grants for the requests of tenants that enter at this node, from the nodes that count limits. */
import {
  QuotaShare,
  type OnQuotaDecision,
  type QuotaAllowance,
  type QuotaToken,
} from '../../core/quota/quota-share.js';
import type { QuotaLimit } from '../../core/quota/quota-counter.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import { groupOfTenant, orderCandidates, QUOTA_GROUPS } from './quota-groups.js';
import type { QuotaPort, QuotaReply } from './quota-messages.js';

/** Time after which a query counts as lost, in milliseconds; a busy node may take some of it to reply. */
const REPLY_TIMEOUT_MS = 400;
/** Pause before another node is asked, in milliseconds. */
const RETRY_MS = 50;

export interface TenantQuotasOptions {
  readonly clock: Clock;
  allowance(): QuotaAllowance;
  /** All nodes that can be queried, this one included. */
  candidates(): readonly string[];
  /** Port to a node; undefined while the node is unreachable. */
  portOf(node: string): QuotaPort | undefined;
}

/** Admits requests of tenants within their limits. */
export class TenantQuotas {
  private readonly groups: readonly GroupQueries[];

  constructor(options: TenantQuotasOptions) {
    this.groups = Array.from(
      { length: QUOTA_GROUPS },
      (_, group) => new GroupQueries(group, options),
    );
  }

  /**
   * Decides whether a request of a tenant may run.
   *
   * @returns function that cancels the wait without a decision
   */
  admit(tenant: string, limit: QuotaLimit, onDecision: OnQuotaDecision): () => void {
    return this.groups[groupOfTenant(tenant)]!.admit(tenant, limit, onDecision);
  }

  /** Returns the grant of a request that was not run. */
  returnGrant(token: QuotaToken): void {
    this.groups[groupOfTenant(token.tenant)]!.share.returnGrant(token);
  }

  /** Sends no further queries. */
  close(): void {
    for (const group of this.groups) group.close();
  }
}

/** Queries about one group; at most one is in progress. */
class GroupQueries {
  readonly share: QuotaShare;
  private cancelTimer: CancelTimer | undefined;
  /** Number of the query in progress; undefined: none. */
  private current: number | undefined;
  private lastQuery = 0;
  /** Node that counts the group, as far as this node knows. */
  private holder: string | undefined;
  /** Nodes that did not reply or did not count the group when queried; cleared when one does. */
  private readonly skippedNodes = new Set<string>();
  private closed = false;

  constructor(
    private readonly group: number,
    private readonly options: TenantQuotasOptions,
  ) {
    this.share = new QuotaShare(
      () => options.clock.bootNow(),
      () => options.allowance(),
    );
  }

  admit(tenant: string, limit: QuotaLimit, onDecision: OnQuotaDecision): () => void {
    const cancel = this.share.admit(tenant, limit, onDecision);
    // A running timer is the pause after a query without a reply; no query is sent before it ends.
    if (this.share.isWaiting && this.current === undefined && this.cancelTimer === undefined) {
      this.sendQuery();
    }
    return cancel;
  }

  close(): void {
    this.closed = true;
    this.cancelTimer?.();
  }

  private scheduleQuery(): void {
    if (this.closed) return;
    this.cancelTimer = this.options.clock.schedule(RETRY_MS, () => {
      this.cancelTimer = undefined;
      this.sendQuery();
    });
  }

  private sendQuery(): void {
    if (this.closed || this.current !== undefined) return;
    this.share.expireWaits();
    const requests = this.share.createRequests();
    if (requests.length === 0) return;
    const node = this.chooseNode();
    const port = node === undefined ? undefined : this.options.portOf(node);
    if (node === undefined || port === undefined) {
      this.onNoReply(node);
      return;
    }
    this.lastQuery += 1;
    const query = this.lastQuery;
    this.current = query;
    const requestedAt = this.options.clock.bootNow();
    this.scheduleTimeout(query, node);
    port.queryQuota({ group: this.group, requests }, (reply) => {
      if (this.current === query) this.onReply(node, reply, requestedAt);
    });
  }

  /** Allows more time when the timer fires late: this node was delayed, and the reply may be unread. */
  private scheduleTimeout(query: number, node: string, delayMs = REPLY_TIMEOUT_MS): void {
    const { clock } = this.options;
    const dueAt = clock.now() + delayMs;
    this.cancelTimer = clock.schedule(delayMs, () => {
      this.cancelTimer = undefined;
      if (this.current !== query) return;
      const wasDelayed = clock.now() - dueAt > RETRY_MS;
      if (wasDelayed) this.scheduleTimeout(query, node, RETRY_MS);
      else this.onNoReply(node);
    });
  }

  private onReply(node: string, reply: QuotaReply, requestedAt: number): void {
    if (reply.type === 'grants') {
      this.holder = node;
      this.skippedNodes.clear();
      this.endQuery();
      this.share.onGrants(reply.grants, requestedAt);
      this.sendQuery();
      return;
    }
    this.onNoReply(node);
    const { holder } = reply;
    // Also a node that has just not replied: it may have been busy, and no other node will count.
    if (holder !== node) this.holder = holder;
  }

  private onNoReply(node: string | undefined): void {
    if (node !== undefined) this.skippedNodes.add(node);
    if (this.holder === node) this.holder = undefined;
    this.endQuery();
    this.share.onNoReply();
    this.scheduleQuery();
  }

  private endQuery(): void {
    this.current = undefined;
    this.cancelTimer?.();
    this.cancelTimer = undefined;
  }

  private chooseNode(): string | undefined {
    if (this.holder !== undefined) return this.holder;
    const ordered = orderCandidates(this.group, this.options.candidates());
    const chosen = ordered.find((node) => !this.skippedNodes.has(node));
    // All nodes have been queried: start again.
    if (chosen === undefined) this.skippedNodes.clear();
    return chosen ?? ordered[0];
  }
}

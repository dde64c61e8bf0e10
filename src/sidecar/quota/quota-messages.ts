/** Messages between a node and the node that counts tenants' limits. */
import type { QuotaGrant, QuotaRequest } from '../../core/quota/quota-counter.js';

/** Asks for grants for requests of one group's tenants. */
export interface QuotaQuery {
  readonly group: number;
  readonly requests: readonly QuotaRequest[];
}

/** Reply to a query. */
export type QuotaReply =
  | { readonly type: 'grants'; readonly grants: readonly QuotaGrant[] }
  /** The queried node does not count the group; `holder` does, if it is known. */
  | { readonly type: 'not-counting'; readonly holder?: string };

/** Handles the reply to a query; called once, or never when the query or the reply is lost. */
export type OnQuotaReply = (reply: QuotaReply) => void;

/** Destination of queries: the counting of this node, or a link to another node. */
export interface QuotaPort {
  queryQuota(query: QuotaQuery, onReply: OnQuotaReply): void;
}

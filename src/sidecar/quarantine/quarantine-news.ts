/** What nodes tell each other of requests under which targets ended. */
import type { RequestKey, TargetEnd } from '../../core/quarantine/suspect-table.js';

/** Ends of targets, or requests that have been answered after they were suspect. */
export type QuarantineNews =
  | { readonly type: 'target-ends'; readonly ends: readonly TargetEnd[] }
  | { readonly type: 'requests-cleared'; readonly requests: readonly RequestKey[] };

/** Tells one node something; it may do nothing when the node is out of reach. */
export type SendNews = (news: QuarantineNews) => void;

/** Takes part in the exchange on one link. */
export interface NewsExchange {
  /** What a node that connects has to hear; undefined: nothing. */
  news(): QuarantineNews | undefined;
  /** @param reply tells the sender something */
  onNews(news: QuarantineNews, reply: SendNews): void;
}

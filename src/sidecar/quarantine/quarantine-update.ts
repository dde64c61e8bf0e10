/** Messages between nodes about requests during which targets crashed. */
import type { RequestKey, TargetCrash } from '../../core/quarantine/suspect-table.js';

/** Reports crashes of targets, or suspect requests that a target has since answered. */
export type QuarantineUpdate =
  | { readonly type: 'target-ends'; readonly ends: readonly TargetCrash[] }
  | { readonly type: 'requests-cleared'; readonly requests: readonly RequestKey[] };

/** Sends an update to one node; may do nothing when the node is unreachable. */
export type SendUpdate = (update: QuarantineUpdate) => void;

/** Exchanges updates over a link. */
export interface QuarantineExchange {
  /** Update to send to a node that connects; undefined: none. */
  currentUpdate(): QuarantineUpdate | undefined;
  /** @param reply sends an update back to the sender */
  onUpdate(update: QuarantineUpdate, reply: SendUpdate): void;
}

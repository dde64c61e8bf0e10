/** What a link needs to know of its node, and what it reports. */
import type { Clock } from '../../kernel/clock.js';
import type { QuarantineExchange } from '../quarantine/quarantine-update.js';
import type { RulesConfirmation } from '../rules/rules-freshness.js';
import type { NodeStatus, RelayedLimit } from './link-messages.js';

/** Callbacks of a link. */
export interface PeerLinkListener {
  /** Called with the status of the other node. */
  onStatus(status: NodeStatus): void;
  /** Called when the link opens or closes, and when the other node stops or resumes responding. */
  onReachableChanged(reachable: boolean, detail: string): void;
  /** Called when the connection is open and the other node does not respond. */
  onUnresponsive(): void;
  onRules(document: Uint8Array): void;
  /** Called when the other node reports that the local target has left in this incarnation. */
  onLocalTargetLeft(incarnation: string): void;
  /**
   * Called when the other node reports how recently its rules were confirmed.
   *
   * @param requestedAt boot time of the request that the report answers; the report is not older
   */
  onRulesConfirmation(confirmation: RulesConfirmation, requestedAt: number): void;
  /**
   * Called before an attempt ends with a load report of the other node.
   *
   * @param requestLimit requests a second that its target states; undefined: none
   */
  onRequestLimit(requestLimit: number | undefined): void;
  /** Called when invalid members of a message of the other node were ignored. */
  onRejectedMembers?(members: readonly string[]): void;
}

export interface PeerLinkOptions {
  /** Expected identity of the other node. */
  readonly node: string;
  /** IP address and port. */
  readonly address: string;
  readonly clock: Clock;
  /** Returns this node's current status. */
  status(): NodeStatus;
  /** Returns the document of the rules in force; undefined: none. */
  rulesDocument(): Buffer | undefined;
  readonly quarantine: QuarantineExchange;
  /** Returns the recorded incarnation in which the other node's target has left; undefined: none. */
  leftTarget(): string | undefined;
  /** Returns the request limit that this node relayed from the other node's target; undefined: none. */
  relayedLimit(): RelayedLimit | undefined;
  readonly listener: PeerLinkListener;
}

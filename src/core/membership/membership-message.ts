/** Datagrams of the membership protocol; see docs/design/membership.md. */
import type { MemberUpdate } from './member-update.js';
import type { VersionDigest } from './version-digest.js';

interface MessageBase {
  /** The sending node. */
  readonly from: string;
  readonly incarnation: number;
  /** The sender's rules version, so that every receiver learns it at once. */
  readonly configVersion: number;
  /** Hash of the sender's view; one that stays different causes a state exchange. */
  readonly stateHash: number;
  /** Which members have the newest rules version; absent in a very large fleet. */
  readonly versions?: VersionDigest;
  readonly updates: readonly MemberUpdate[];
}

/** Requests an `ack`. */
export interface PingMessage extends MessageBase {
  readonly type: 'ping';
  readonly probe: number;
  /** The node that should answer; empty when only its address is known. */
  readonly to: string;
}

/** Answers a `ping`, or forwards the answer of another node. */
export interface AckMessage extends MessageBase {
  readonly type: 'ack';
  readonly probe: number;
  /** The node that is alive. */
  readonly subject: string;
  /** Whether the answering node lacks the facts of the node that sent the ping. */
  readonly factsWanted: boolean;
}

/** Requests that a third node ping a node that did not answer. */
export interface PingRequestMessage extends MessageBase {
  readonly type: 'ping-request';
  readonly probe: number;
  readonly subject: string;
  readonly address: string;
}

/** The third node got no answer either; shows that the path to the third node works. */
export interface NackMessage extends MessageBase {
  readonly type: 'nack';
  readonly probe: number;
}

/** Carries updates only. */
export interface GossipMessage extends MessageBase {
  readonly type: 'gossip';
}

/** Any datagram. */
export type MembershipMessage =
  PingMessage | AckMessage | PingRequestMessage | NackMessage | GossipMessage;

/** Action that the protocol requires. */
export type MembershipAction =
  /** Send a datagram. */
  | { readonly type: 'send'; readonly to: string; readonly message: MembershipMessage }
  /** Compare and exchange full state with a node. */
  | { readonly type: 'sync'; readonly nodeId: string }
  /** Fetch the facts of some nodes from a node that has them. */
  | { readonly type: 'fetch'; readonly source: string; readonly nodeIds: readonly string[] }
  /** Where a node listens; undefined when it has failed. */
  | { readonly type: 'address'; readonly nodeId: string; readonly address: string | undefined }
  | { readonly type: 'event'; readonly event: MembershipEvent; readonly nodeId: string }
  /** The view has changed; once per input. */
  | { readonly type: 'changed' };

/** Membership changes that are logged. */
export type MembershipEvent = 'joined' | 'suspected' | 'failed' | 'leaving' | 'refuted';

/** Request of a state exchange. */
export interface MemberSyncRequest {
  /** Hash of each bucket of members; empty when only `updates` are transferred. */
  readonly hashes: readonly number[];
  /** Continue after this node id; empty in the first request. */
  readonly after: string;
  readonly updates: readonly MemberUpdate[];
}

/** Reply of a state exchange. */
export interface MemberSyncReply {
  /** Buckets whose hashes differ. */
  readonly buckets: readonly number[];
  /** Members of these buckets, one page. */
  readonly updates: readonly MemberUpdate[];
  /** Last node id of the page when more follow, else empty. */
  readonly next: string;
}

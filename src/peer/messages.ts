/** Every message between nodes, typed by name. The codec is BSON; see docs/PEER-PROTOCOL.md. */
import type { AdminCalls } from '../admin/admin-messages.js';
import type { RevisionRecord } from '../config/config-store.js';
import type { HeaderFields } from '../core/http-message.js';
import type { AttemptOutcome, Criticality, LoadReport } from '../core/request.js';
import type { Execution } from '../core/result-code.js';
import type { AttemptLedgerCalls } from '../target/attempt-ledger-messages.js';
import type { ClaimCalls } from '../claims/claim-messages.js';
import type { MembershipCalls } from '../membership/membership-calls.js';

/** An attempt for a target of the receiving node. Times are durations, because clocks differ. */
export interface AttemptMessage {
  readonly attemptId: string;
  readonly target: string;
  readonly requestId: string;
  readonly tenant: string;
  readonly service: string;
  readonly kind: string;
  readonly criticality: Criticality;
  readonly idempotent: boolean;
  readonly depth: number;
  readonly deadlineInMs: number;
  /** Remaining time in which a non-idempotent attempt may be dispatched. */
  readonly notAfterInMs?: number;
  readonly attemptsGranted: number;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderFields;
  readonly body: Uint8Array;
}

/** The outcome of an attempt. */
export interface AttemptReply {
  readonly outcome: AttemptOutcome;
  readonly attemptsUsed: number;
  readonly load?: LoadReport;
  /** Present when the target answered completely. */
  readonly answer?: {
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: Uint8Array;
  };
  /** Present when the target did not answer completely. */
  readonly failure?: {
    readonly code: number;
    readonly detail: string;
    readonly execution: Execution;
    readonly retryAfterMs?: number;
  };
}

/** Requests rules revisions newer than a version from a peer. */
export interface ConfigFetchMessage {
  /** Highest global version that the requesting node has. */
  readonly after: number;
}

/** Rules revisions newer than the requested version; the newest per tenant is enough. */
export interface ConfigFetchReply {
  readonly records: readonly RevisionRecord[];
  /** Global version of the answering node. */
  readonly version: number;
}

/** Request and reply type of every call between nodes. Modules with many messages add a map. */
export interface PeerCalls extends ClaimCalls, MembershipCalls, AdminCalls, AttemptLedgerCalls {
  attempt: { request: AttemptMessage; reply: AttemptReply };
  configFetch: { request: ConfigFetchMessage; reply: ConfigFetchReply };
}

/** Names of calls. */
export type PeerCallName = keyof PeerCalls;

/** Messages between nodes; `link-codec.ts` defines their encoding. */
import type { ServiceCosts } from '../../core/admission/cost-tally.js';
import type { AttemptOutcome, LoadReport } from '../../core/request.js';
import type { Execution, ResultCode } from '../../core/result-code.js';
import type { RulesConfirmation } from '../rules/rules-freshness.js';
import type { AdmissionMessage } from '../admission/admission-messages.js';
import type { QuotaQuery, QuotaReply } from '../quota/quota-messages.js';
import type { QuarantineUpdate } from '../quarantine/quarantine-update.js';

/** Header fields in the format of Node.js `rawHeaders`: names and values alternate. */
export type RawFields = readonly string[];

/** Whether a target accepts requests, as known to its sidecar. */
export type TargetState = 'unknown' | 'ready' | 'leaving';

/** Status that a node sends when a link opens and whenever the status changes. */
export interface NodeStatus {
  readonly node: string;
  readonly service: string;
  readonly target: TargetState;
  /** Incarnation of the target, as a text that differs between incarnations; absent while unknown. */
  readonly incarnation?: string;
  /** Set when the target itself reported that it leaves; otherwise `leaving` may refer to its node. */
  readonly targetLeft?: true;
  /** Set by nodes that take messages about admission; earlier versions close the link when they get one. */
  readonly admission?: true;
  /** Version of the rules in force; 0: none. */
  readonly rulesVersion: number;
}

/** A request limit that a target stated in an answer which a node has relayed to a caller. */
export interface RelayedLimit {
  /** Incarnation of the target; see {@link NodeStatus.incarnation}. */
  readonly incarnation: string;
  readonly requestsPerSecond: number;
}

/** The tenant under which the entry node admitted a request. */
export interface Authorization {
  readonly tenant: string;
  /** Digest of the API key; the key itself never leaves the entry node. */
  readonly fingerprint: string;
  /** Version of the rules in which the key belonged to the tenant. */
  readonly rulesVersion: number;
  /** Milliseconds, from the sending of the message, until the key has to be checked again. */
  readonly validForMs: number;
}

/** One attempt of a request, as sent to the target's sidecar. */
export interface AttemptCall {
  readonly attemptId: string;
  /** Identity of the root request of the chain of calls. */
  readonly requestId: string;
  readonly service: string;
  /** Name of the route. */
  readonly kind: string;
  /** Rank of the request's class. */
  readonly rank: number;
  readonly idempotent: boolean;
  /** Service hops above this one. */
  readonly depth: number;
  /** Whether this attempt, or an attempt above it in the chain of calls, is a retry. */
  readonly repeated: boolean;
  /** Whether a call of the parent attempt, or of an attempt above it, has been served. */
  readonly committed: boolean;
  /** Milliseconds left when the message was sent. */
  readonly timeLeftMs: number;
  /** Milliseconds, at the same time, until the answer loses part of its value; negative if it already has. */
  readonly dueInMs: number;
  /** Service that runs on the machine of the entry node. */
  readonly callerService: string;
  /** Absent: the request needs no API key. */
  readonly authorization?: Authorization;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly fields: RawFields;
  readonly body: Uint8Array;
}

/** The target's complete answer. */
export interface AttemptAnswer {
  readonly type: 'answer';
  readonly status: number;
  readonly fields: RawFields;
  readonly body: Uint8Array;
  readonly load?: LoadReport;
  /** Set when the attempt failed after a call below it had been refused for load. */
  readonly refusedBelow?: true;
  /** What the attempt and the calls below it used of the slots of each service; absent: unknown. */
  readonly cost?: ServiceCosts;
}

/** An attempt without an answer of the target. */
export interface AttemptFailure {
  readonly type: 'failure';
  readonly outcome: AttemptOutcome;
  readonly execution: Execution;
  readonly code: ResultCode;
  readonly detail: string;
  /** Whether a byte of the request may have reached the target. */
  readonly offered: boolean;
  readonly retryAfterMs?: number;
  readonly load?: LoadReport;
}

/** Result of an attempt. */
export type AttemptEnd = AttemptAnswer | AttemptFailure;

/** Any message on a link. */
export type LinkMessage =
  /** First message on a connection; `clock` is the sender's monotonic time, in milliseconds. */
  | { readonly type: 'hello'; readonly status: NodeStatus; readonly clock: number }
  | { readonly type: 'status'; readonly status: NodeStatus }
  /** `sentAt`: time of sending by the receiver's clock, as estimated by the sender; see {@link PeerClock}. */
  | {
      readonly type: 'call';
      readonly id: number;
      readonly sentAt: number;
      readonly call: AttemptCall;
    }
  | { readonly type: 'cancel'; readonly id: number }
  /** `clock` as in `hello`. */
  | {
      readonly type: 'end';
      readonly id: number;
      readonly clock: number;
      readonly end: AttemptEnd;
      /** For calls that need an API key: how recently the sender's rules were confirmed. */
      readonly confirmation?: RulesConfirmation;
      /** Set by the decoder: members whose values are invalid and were ignored. */
      readonly rejected?: readonly string[];
    }
  /** The receiver's target reported in this incarnation that it leaves, as recorded by the sender. */
  | { readonly type: 'target-left'; readonly incarnation: string }
  /** The receiver's target stated this request limit in an answer that the sender relayed. */
  | ({ readonly type: 'target-limit' } & RelayedLimit)
  | { readonly type: 'ping' }
  | { readonly type: 'pong' }
  /** Requests how recently the receiver's rules were confirmed; the reply carries the same number. */
  | { readonly type: 'confirmation-wanted'; readonly question: number }
  | {
      readonly type: 'confirmation';
      readonly question: number;
      readonly confirmation: RulesConfirmation;
    }
  | { readonly type: 'quota-wanted'; readonly question: number; readonly wanted: QuotaQuery }
  | { readonly type: 'quota-reply'; readonly question: number; readonly reply: QuotaReply }
  | { readonly type: 'rules-wanted' }
  | { readonly type: 'rules'; readonly document: Uint8Array }
  | AdmissionMessage
  | QuarantineUpdate;

/**
 * Port of the machines' platform: its names and formats. The folder `platform/` implements it; an
 * adapter only translates and makes no decisions.
 */
import type { Result } from 'true-myth';
import type { Failure } from '../core/failure.js';
import type { StatedLoad } from '../core/overload.js';
import type {
  ListingLimit,
  MetadataStore,
  StoreEraSink,
  StoreTransport,
} from '../store/metadata-store.js';
import type { RoutingRules } from './rules/routing-rules.js';

export type { StatedLoad };

/** Names of the header fields between callers, nodes and targets, in lower case. */
export interface FieldNames {
  /** Identity of one attempt of a request; sent to the target and returned on its answer. */
  readonly attemptId: string;
  /** Remaining time of the request, in milliseconds. */
  readonly timeLeft: string;
  /** The only incarnation of the target that may run the request. */
  readonly expectedTarget: string;
  /** Service that runs on the machine of the entry node. */
  readonly callerService: string;
  /** API key of a caller; never sent to a target. */
  readonly apiKey: string;
  /** Tenant that holds the caller's API key; sent to the target. */
  readonly tenant: string;
  /** On an answer: shows that the target has not run the request. */
  readonly notExecuted: string;
  /** On an answer: the target's signature, which a node's own answers must not carry. */
  readonly signature: string;
  /** On an answer: incarnation of the target. */
  readonly targetId: string;
}

/** What a target states about itself in an answer. */
export interface TargetStatements {
  /** Requests a second that it takes from all nodes together; absent: it states none, or an invalid one. */
  readonly requestLimit?: number;
  /** Absent: it states none, or an invalid one. */
  readonly load?: StatedLoad;
  /** Whether it leaves; it serves on for a while. */
  readonly isLeaving: boolean;
  /** Statements whose values cannot be parsed; they change nothing. */
  readonly invalid: readonly InvalidStatement[];
}

/** A statement whose value cannot be parsed. */
export interface InvalidStatement {
  readonly statement: 'request limit' | 'leaving' | 'load';
  /** Beginning of the value. */
  readonly value: string;
}

/** A target's report about itself. */
export interface Heartbeat {
  readonly type: 'heartbeat';
  readonly targetId: string;
  /** IP address and port at which the target serves. */
  readonly address: string;
  readonly service: string;
  readonly zone: string;
  /** Requests that the target can run concurrently. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Increases with each report of one incarnation, so that a late one can be detected. */
  readonly sequence: number;
  /** Milliseconds for which the target stays slow after its start. */
  readonly warmUpMs: number;
  /**
   * Start of the target's process, in Unix milliseconds by its own clock; with the id it names one
   * incarnation, since a target may restart under its id. Absent where targets don't report it.
   */
  readonly startedAt?: number;
}

/** A target's report that it leaves, whether or not it has drained before. */
export interface Departure {
  readonly type: 'departure';
  readonly targetId: string;
  /** As in {@link Heartbeat}. */
  readonly startedAt?: number;
}

/** A registration call without a readable report. */
export interface UnreadableReport {
  readonly type: 'unreadable';
  readonly reason: string;
}

/** A readable report in a call to the registration address. */
export type RegistrationMessage = Heartbeat | Departure;

export interface PlatformAdapter {
  readonly fields: FieldNames;
  /** Path at which the platform checks whether this node accepts requests. */
  readonly readinessPath: string;
  /** Key of the operators' routing rules in the store. */
  readonly rulesKey: string;
  /** Content type and body of the answer to an acknowledged registration call. */
  readonly acknowledgement: { readonly contentType: string; readonly body: string };
  /**
   * Returns the identity of the request that a target serves when it makes the call of this identity;
   * undefined for a root request.
   */
  parentOf(attemptId: string): string | undefined;
  /** Parses a registration call; never throws, whatever the bytes are. */
  parseRegistration(
    method: string,
    path: string,
    body: Buffer,
  ): RegistrationMessage | UnreadableReport;
  /**
   * Parses what a target states in the header of an answer; never throws, whatever the values are.
   *
   * @param headers field values by lower-case name
   */
  parseStatements(headers: Readonly<Record<string, unknown>>): TargetStatements;
  /** Parses a document of routing rules. */
  parseRules(document: Buffer): Result<RoutingRules, Failure>;
  /**
   * @param transport connections to the store
   * @param timeoutMs time limit for an answer, in addition to the wait time that a watch requests
   * @param eras receives the era of each answer; an answer that it does not accept is a failure
   */
  createStore(
    transport: StoreTransport,
    timeoutMs: number,
    eras: StoreEraSink,
    listings?: ListingLimit,
  ): MetadataStore;
}

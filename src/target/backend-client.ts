/** Calls to back ends over HTTP. This interface hides the HTTP library. */
import type { Failure } from '../core/failure.js';
import type { HttpAnswer, HttpRequest } from '../core/http-message.js';

/** Limits of one call. */
export interface BackendCallLimits {
  /** Time limit of the call. */
  readonly timeoutMs: number;
  readonly maxAnswerBytes: number;
  /** Aborts the call; the connection is closed. */
  readonly signal: AbortSignal;
  /** Called on an open connection, right before the first byte is sent; false: not run. */
  mayStart(): boolean;
  /** Reserves `bytes` of the node's buffer budget for the answer; false fails the call. */
  reserveBuffer(bytes: number): boolean;
}

/** Why no complete answer came. */
export type BackendErrorCause =
  /** No connection; nothing was sent. */
  | 'unreachable'
  /** `mayStart` withdrew the call; nothing was sent. */
  | 'withdrawn'
  /** Reset, truncated or malformed. */
  | 'failed'
  | 'timeout'
  | 'cancelled'
  | 'too-large'
  | 'buffer-exhausted';

/** Exactly one result per call. */
export type BackendResult =
  | { readonly type: 'answer'; readonly answer: HttpAnswer; readonly closes: boolean }
  | {
      readonly type: 'failure';
      readonly cause: BackendErrorCause;
      readonly failure: Failure;
      /** Whether a byte may have reached the back end. */
      readonly sent: boolean;
    };

/** Client of one back end with its own bounded connection pool. */
export interface BackendClient {
  /** Never rejects. */
  call(request: HttpRequest, limits: BackendCallLimits): Promise<BackendResult>;
  /** Closes idle connections; running calls run to their end. */
  close(): void;
}

/** Creates the client of one back end. */
export type BackendClientFactory = (options: BackendClientOptions) => BackendClient;

/** Parameters of a back end's client. */
export interface BackendClientOptions {
  readonly host: string;
  readonly port: number;
  /** Connections that the back end accepts. */
  readonly maxConnections: number;
}

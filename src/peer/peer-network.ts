/** Interface of calls between nodes, independent of the transport; tests use one in memory. */
import type { Result } from 'true-myth';
import type { Failure } from '../core/failure.js';
import type { PeerCallName, PeerCalls } from './messages.js';

/** Limits and cancellation of one call. */
export interface PeerCallOptions {
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** Checks a received body; a failure is returned to the sender and the link stays up. */
export type BodyValidator<T> = (body: unknown) => Result<T, Failure>;

/** Handles one received call; never rejects. */
export type PeerCallHandler<K extends PeerCallName> = (
  from: string,
  request: PeerCalls[K]['request'],
  signal: AbortSignal,
) => Promise<Result<PeerCalls[K]['reply'], Failure>>;

/** Multiplexed, authenticated calls between nodes. */
export interface PeerNetwork {
  /**
   * Calls a node by name; membership sets its address with {@link PeerNetwork.setAddress}.
   *
   * Failures: `PeerUnreachable` (not sent), `PeerLost`, `PeerTimeout` (may have been handled),
   * `MailboxFull` (not sent), or the handler's own failure.
   */
  call<K extends PeerCallName>(
    node: string,
    name: K,
    request: PeerCalls[K]['request'],
    options: PeerCallOptions,
  ): Promise<Result<PeerCalls[K]['reply'], Failure>>;
  /** Registers the handler of a call; one handler per name. */
  handle<K extends PeerCallName>(
    name: K,
    validate: BodyValidator<PeerCalls[K]['request']>,
    handler: PeerCallHandler<K>,
  ): void;
  /** Sets where a node listens, `host:port`; undefined removes the address and closes the link. */
  setAddress(node: string, address: string | undefined): void;
}

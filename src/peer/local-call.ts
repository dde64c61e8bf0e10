/** A node's call to itself: the same handlers and time limits, without a socket. */
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';
import type { HandlerRegistry } from './handler-registry.js';

/** One call of a node to itself. */
export interface LocalCall {
  readonly node: string;
  readonly name: string;
  readonly request: unknown;
  readonly timeoutMs: number;
  readonly signal: AbortSignal | undefined;
}

/** Runs the handler of a call at this node; ends early on timeout or abort. */
export function callLocally(
  handlers: HandlerRegistry,
  clock: Clock,
  { node, name, request, timeoutMs, signal }: LocalCall,
): Promise<Result<unknown, Failure>> {
  return new Promise((resolve) => {
    const controller = new AbortController();
    const giveUp = (code: ResultCode): void => {
      resolve(Result.err(createFailure(code, `local call ${name} did not complete`)));
      controller.abort();
    };
    const onAbort = (): void => {
      giveUp(ResultCode.Cancelled);
    };
    const cancelTimer = clock.schedule(timeoutMs, () => {
      giveUp(ResultCode.PeerTimeout);
    });
    signal?.addEventListener('abort', onAbort, { once: true });
    void handlers.run(node, name, request, controller.signal).then((result) => {
      cancelTimer();
      signal?.removeEventListener('abort', onAbort);
      resolve(result);
    });
  });
}

/** The handlers of received calls, by name; shared by every transport. */
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { PeerCallName } from './messages.js';
import type { BodyValidator, PeerCallHandler } from './peer-network.js';

type AnyHandler = (
  from: string,
  request: unknown,
  signal: AbortSignal,
) => Promise<Result<unknown, Failure>>;

interface Registration {
  readonly validate: BodyValidator<unknown>;
  readonly handler: AnyHandler;
}

/** Finds and runs handlers. */
export class HandlerRegistry {
  private readonly registrations = new Map<string, Registration>();

  /** Registers a handler; throws when the name already has one. */
  register<K extends PeerCallName>(
    name: K,
    validate: BodyValidator<never>,
    handler: PeerCallHandler<K>,
  ): void {
    if (this.registrations.has(name)) throw new Error(`call ${name} already has a handler`);
    this.registrations.set(name, {
      validate,
      handler: handler as unknown as AnyHandler,
    });
  }

  /** Validates and handles one call; a handler that rejects is a defect and becomes `Internal`. */
  async run(
    from: string,
    name: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<Result<unknown, Failure>> {
    const registration = this.registrations.get(name);
    if (registration === undefined) {
      return Result.err(createFailure(ResultCode.UnknownMessage, `unknown call ${name}`));
    }
    try {
      const request = registration.validate(body);
      if (request.isErr) return Result.err(request.error);
      return await registration.handler(from, request.value, signal);
    } catch (error) {
      const detail = `handler of ${name} failed: ${String(error)}`;
      return Result.err(createFailure(ResultCode.Internal, detail));
    }
  }
}

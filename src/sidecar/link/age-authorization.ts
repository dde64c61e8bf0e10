/** Reduces the validity of an authorization by the time that its request has spent on the way to a target. */
import type { AttemptCall, Authorization } from './link-messages.js';

/** Returns the authorization, if any, as it is `elapsedMs` later, in a form to spread into a call. */
export function ageAuthorization(
  authorization: Authorization | undefined,
  elapsedMs: number,
): Pick<AttemptCall, 'authorization'> {
  if (authorization === undefined) return {};
  return { authorization: { ...authorization, validForMs: authorization.validForMs - elapsedMs } };
}

/** What the status code of an answer says about its request (RFC 9110, section 15). */

const LOWEST_FINAL_STATUS = 200;
const HIGHEST_STATUS = 599;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Whether an answer with this status is the final one. Statuses below 200 announce another answer, and others
 * are not defined. `node:http` reads any three digits as a status, but throws when it has to write one below
 * 100.
 */
export function isFinalStatus(status: unknown): status is number {
  if (typeof status !== 'number' || !Number.isInteger(status)) return false;
  return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS;
}

/** Whether callers take the status to mean that the request has not run and never will. */
export function meansNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

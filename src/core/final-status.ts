/** Which status codes end an exchange (RFC 9110, section 15). */

const LOWEST_FINAL_STATUS = 200;
const HIGHEST_STATUS = 599;

/**
 * Whether an answer with this status is the final one. Statuses below 200 announce another answer, and others
 * are not defined. `node:http` reads any three digits as a status, but throws when it has to write one below
 * 100.
 */
export function isFinalStatus(status: unknown): status is number {
  if (typeof status !== 'number' || !Number.isInteger(status)) return false;
  return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS;
}

/** Which refusals give a counted request back to the limit of its tenant. */
import type { Failure } from '../../core/failure.js';
import { ResultCode } from '../../core/result-code.js';

/**
 * Whether a counted request that ended with this failure is not charged to its tenant. One that was not run is
 * not, unless a short service has no room for it: the excess of the tenant would pass in its place, and raise
 * the demand by which the shares of all tenants are planned.
 */
export function isTokenReturned({ execution, code }: Failure): boolean {
  return execution === 'not-run' && code !== ResultCode.ServiceSaturated;
}

/** Claims that this node was granted and whose attempt has not ended yet, by attempt id. */
import { KEY_HORIZON_MS } from '../core/claim/claim-limits.js';
import type { ClaimSubject } from '../core/claim/claim-table.js';
import type { Clock } from '../kernel/clock.js';

/** Maximum number of claims in progress that are kept; the oldest are evicted first. */
const MAX_GRANTED_CLAIMS = 100_000;

/** Claims of attempts in progress. */
export class GrantedClaims {
  private readonly claims = new Map<string, { subject: ClaimSubject; grantedAt: number }>();

  constructor(private readonly clock: Clock) {}

  add(attemptId: string, subject: ClaimSubject): void {
    this.claims.set(attemptId, { subject, grantedAt: this.clock.now() });
    this.evictOldest();
  }

  /** Removes and returns the claim of an attempt. */
  take(attemptId: string): ClaimSubject | undefined {
    const claim = this.claims.get(attemptId);
    this.claims.delete(attemptId);
    return claim?.subject;
  }

  private evictOldest(): void {
    const expired = this.clock.now() - KEY_HORIZON_MS;
    for (const [attemptId, claim] of this.claims) {
      if (this.claims.size <= MAX_GRANTED_CLAIMS && claim.grantedAt > expired) return;
      this.claims.delete(attemptId);
    }
  }
}

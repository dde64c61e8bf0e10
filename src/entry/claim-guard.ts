/** The claim of one non-idempotent call: requested before dispatch, settled at the call's end. */
import { createHash } from 'node:crypto';
import type { ClaimRequest, ClaimService } from '../claims/claim-service.js';
import { createFailure } from '../core/failure.js';
import type { HttpAnswer } from '../core/http-message.js';
import { ResultCode } from '../core/result-code.js';
import type { CallResult, InboundCall } from './call-router.js';

const IN_PROGRESS_RETRY_AFTER_MS = 200;

/** Outcome of a claim: the call may be dispatched until `notAfter`, or has a final result. */
export type ClaimOutcome =
  | { readonly type: 'dispatch'; readonly notAfter: number }
  | { readonly type: 'final'; readonly result: CallResult };

export class ClaimGuard {
  private readonly request: ClaimRequest;

  constructor(
    private readonly claims: ClaimService,
    call: InboundCall,
    key: string,
    attemptId: string,
  ) {
    this.request = {
      tenant: call.context.tenant,
      service: call.context.service,
      key,
      fingerprint: fingerprintOf(call),
      attemptId,
      deadline: call.context.deadline,
    };
  }

  /** Requests the claim. */
  async claim(): Promise<ClaimOutcome> {
    const decision = await this.claims.claim(this.request);
    switch (decision.type) {
      case 'granted':
        return { type: 'dispatch', notAfter: decision.notAfter };
      case 'refused':
        return final({ type: 'failure', failure: decision.failure, attemptsUsed: 0 });
      case 'in-progress':
        return final(inProgress());
      case 'finished':
        return final(decision.answer === undefined ? outcomeUnknown() : replay(decision.answer));
    }
  }

  /** Records the end of a call that held the claim. */
  settle(result: CallResult): void {
    if (result.type === 'answer') this.claims.finish(this.request, result.answer);
    else if (result.failure.execution === 'not-run') this.claims.release(this.request);
    else this.claims.finish(this.request, undefined);
  }
}

function final(result: CallResult): ClaimOutcome {
  return { type: 'final', result };
}

function inProgress(): CallResult {
  const options = { retryAfterMs: IN_PROGRESS_RETRY_AFTER_MS };
  const detail = 'an earlier request with this Idempotency-Key has not ended yet';
  const failure = createFailure(ResultCode.RequestInProgress, detail, options);
  return { type: 'failure', failure, attemptsUsed: 0 };
}

function outcomeUnknown(): CallResult {
  const detail = 'an earlier request with this Idempotency-Key was sent; its answer is not known';
  const failure = createFailure(ResultCode.OutcomeUnknown, detail);
  return { type: 'failure', failure, attemptsUsed: 0 };
}

function replay(answer: HttpAnswer): CallResult {
  const headers = [...answer.headers, ['Sillshore-Replayed', 'true'] as const];
  return { type: 'answer', answer: { ...answer, headers }, attemptsUsed: 0 };
}

function fingerprintOf({ request }: InboundCall): string {
  const hash = createHash('sha256');
  hash.update(`${request.method}\n${request.path}\n`);
  hash.update(request.body);
  return hash.digest('base64url');
}

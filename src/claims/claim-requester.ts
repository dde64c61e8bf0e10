/** Claims keys for the call router in rounds of requests, until a decision or the deadline. */
import { ClaimRound, type ClaimVerdict } from '../core/claim/claim-coordinator.js';
import { checkKey, readIssueTime } from '../core/claim/claim-key.js';
import { DISPATCH_WINDOW_MS } from '../core/claim/claim-limits.js';
import type { ClaimSubject } from '../core/claim/claim-table.js';
import { createFailure } from '../core/failure.js';
import type { HttpAnswer } from '../core/http-message.js';
import { ResultCode, type Execution } from '../core/result-code.js';
import { Event } from '../kernel/event.js';
import type { ClaimDecision, ClaimRequest } from './claim-service.js';
import { GrantedClaims } from './granted-claims.js';
import type { GroupAccess } from './group-access.js';
import { settleRound, type RequesterOptions } from './request-round.js';
import { pause } from '../kernel/pause.js';

/** Time after which a caller may retry a claim that could not be decided, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** Coordinates claims. */
export class ClaimRequester {
  private readonly granted: GrantedClaims;
  private roundCount = 0;

  constructor(private readonly options: RequesterOptions) {
    this.granted = new GrantedClaims(options.clock);
  }

  /** Claims a key; see `ClaimService.claim`. */
  async claim(request: ClaimRequest): Promise<ClaimDecision> {
    const { clock, log } = this.options;
    const startedAt = clock.now();
    const issuedAtMs = checkKey(request.key, clock.wallNow());
    if (issuedAtMs.isErr) return { type: 'refused', failure: issuedAtMs.error };
    const decision = await this.runRounds(request, startedAt + DISPATCH_WINDOW_MS);
    if (decision.type === 'refused') {
      log.emit(Event.ClaimRefused, { key: request.key, code: decision.failure.code });
    }
    return decision;
  }

  /** Releases a key whose attempt has certainly not run and will not run later. */
  release(request: ClaimRequest): void {
    const subject = this.granted.take(request.attemptId);
    if (subject !== undefined) void this.deliverRelease(subject);
  }

  /** Records the end of a dispatched attempt. */
  finish(request: ClaimRequest, answer: HttpAnswer | undefined): void {
    const subject = this.granted.take(request.attemptId);
    if (subject === undefined) return;
    const kept = answer === undefined ? {} : { answer };
    void this.options.delivery.deliver(subject.key, { type: 'finish', subject, ...kept });
  }

  private async runRounds(request: ClaimRequest, notAfter: number): Promise<ClaimDecision> {
    const { clock, timing, random } = this.options;
    const deadline = Math.min(request.deadline, clock.now() + timing.claimWaitMs);
    let sawEarlierAttempt = false;
    let noEarlierAttempt = false;
    do {
      const subject = this.createSubject(request);
      const group = this.options.groupOf(subject.key);
      const record = group?.placement;
      if (group === undefined || record === undefined)
        return refuseUnavailable('the placement of the replicas is not known yet');
      const round = new ClaimRound(record);
      const verdict = await this.runRound(group.client, round, subject, deadline);
      if (verdict.type === 'granted') {
        this.granted.add(request.attemptId, subject);
        return { type: 'granted', notAfter };
      }
      round.giveUp();
      const released = this.deliverRelease(subject);
      if (verdict.type !== 'undecided') return conclude(verdict);
      sawEarlierAttempt ||= round.sawEarlierAttempt;
      noEarlierAttempt = round.provesNoEarlierAttempt;
      const newer = round.findNewerRecord();
      if (newer !== undefined) group.observe(newer);
      await released;
      await pause(clock, 1 + random.next() * timing.retryJitterMs);
    } while (clock.now() < deadline);
    if (sawEarlierAttempt) return { type: 'in-progress' };
    return refuseUnavailable('no majority of replicas agreed in time', noEarlierAttempt);
  }

  private async runRound(
    client: GroupAccess['client'],
    round: ClaimRound,
    subject: ClaimSubject,
    deadline: number,
  ): Promise<ClaimVerdict | { readonly type: 'undecided' }> {
    const { epoch } = round.record;
    const request = { type: 'claim', epoch, subject } as const;
    await settleRound(this.options, client, round, request, deadline, () => {
      return round.verdict().type !== 'waiting';
    });
    if (this.options.clock.now() >= deadline) return { type: 'undecided' };
    const verdict = round.verdict();
    return verdict.type === 'waiting' ? { type: 'undecided' } : verdict;
  }

  private async deliverRelease({ key, attemptId }: ClaimSubject): Promise<void> {
    await this.options.delivery.deliver(key, { type: 'release', key, attemptId });
  }

  /**
   * Each round claims under its own attempt id, because the release of a round that gave up may
   * reach a replica after the grant of the next one.
   */
  private createSubject(request: ClaimRequest): ClaimSubject {
    this.roundCount += 1;
    return {
      key: `${request.tenant}/${request.service}/${request.key.toLowerCase()}`,
      issuedAtMs: readIssueTime(request.key.toLowerCase()) ?? 0,
      fingerprint: request.fingerprint,
      attemptId: `${request.attemptId}.${this.roundCount}`,
    };
  }
}

/** Maps the verdict of a round that ended without a grant. */
function conclude(verdict: ClaimVerdict): ClaimDecision {
  switch (verdict.type) {
    case 'finished':
      return verdict;
    case 'reused':
      return refuse(ResultCode.IdempotencyKeyReused, 'the key was used for another request');
    case 'expired':
      return refuse(ResultCode.IdempotencyKeyExpired, 'the key is older than the replicas accept');
    default:
      return { type: 'in-progress' };
  }
}

function refuse(code: ResultCode, detail: string): ClaimDecision {
  return { type: 'refused', failure: createFailure(code, detail) };
}

/**
 * This attempt was not run. An earlier one with the same key may have been, unless a majority
 * had no record of one; in all other cases the execution is reported as `unknown`.
 */
function refuseUnavailable(detail: string, noEarlierAttempt = false): ClaimDecision {
  const execution: Execution = noEarlierAttempt ? 'not-run' : 'unknown';
  const options = { execution, retryAfterMs: RETRY_AFTER_MS };
  return { type: 'refused', failure: createFailure(ResultCode.ClaimUnavailable, detail, options) };
}

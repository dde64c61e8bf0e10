/** Sends admitted attempts to their back end, with their limits and buffer. */
import type { TargetAttempt } from '../core/attempt.js';
import type { BufferReservation } from '../core/byte-budget.js';
import { withBaggage } from '../core/call-baggage.js';
import type { HttpRequest } from '../core/http-message.js';
import type { Clock } from '../kernel/clock.js';
import type { BackendClient, BackendResult } from './backend-client.js';
import type { OfferMessage } from './target-messages.js';

/** Whether the first byte of an attempt's request may still be sent to the back end. */
export function mayStart({ context, notAfter }: TargetAttempt, now: number): boolean {
  return now < context.deadline && (notAfter === undefined || now <= notAfter);
}

export class BackendDispatch {
  constructor(
    private readonly nodeId: string,
    private readonly client: BackendClient,
    private readonly clock: Clock,
  ) {}

  /** Never rejects. */
  call(offer: OfferMessage, reservation: BufferReservation): Promise<BackendResult> {
    const { attempt, maxAnswerBytes, signal } = offer;
    const timeLeft = attempt.context.deadline - this.clock.now();
    let buffered = 0;
    return this.client.call(this.toBackendRequest(attempt, timeLeft), {
      timeoutMs: Math.max(0, timeLeft),
      maxAnswerBytes,
      signal,
      mayStart: () => mayStart(attempt, this.clock.now()),
      reserveBuffer: (bytes) => {
        buffered += bytes;
        return reservation.cover(buffered);
      },
    });
  }

  private toBackendRequest(attempt: TargetAttempt, deadlineMs: number): HttpRequest {
    const { attemptId: parentAttemptId, context, request } = attempt;
    const { requestId } = context;
    const baggage = { parentAttemptId, nodeId: this.nodeId, deadlineMs, requestId };
    return { ...request, headers: withBaggage(request.headers, baggage) };
  }
}

/** Sends one attempt to its target, whichever node fronts it. */
import type { AttemptResult, TargetAttempt } from '../core/attempt.js';
import { createFailure, type Failure } from '../core/failure.js';
import type { AttemptOutcome } from '../core/request.js';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import { decodeResult, encodeAttempt } from '../target/attempt-codec.js';
import type { TargetDispatcher } from '../target/target-dispatcher.js';
import type { TargetPlacement } from '../target/target-placement.js';

/** The target side gives up this much earlier than the entry, so that its result arrives. */
const LINK_MARGIN_MS = 10;
/** Largest share of the time left that the margin may take. */
const LINK_MARGIN_SHARE = 0.1;

/** Sends attempts to the local dispatcher or to the node that fronts the target. */
export class TargetCaller {
  constructor(
    private readonly nodeId: string,
    private readonly placement: TargetPlacement,
    private readonly dispatcher: TargetDispatcher,
    private readonly peers: PeerNetwork,
    private readonly clock: Clock,
  ) {}

  /** Never rejects. */
  async call(attempt: TargetAttempt, signal: AbortSignal): Promise<AttemptResult> {
    const node = this.placement.nodeFor(attempt.target);
    if (node === undefined) return noFrontingNode(attempt.target);
    if (node === this.nodeId) return this.dispatcher.dispatch(attempt, signal);
    return this.callPeer(node, attempt, signal);
  }

  private async callPeer(
    node: string,
    attempt: TargetAttempt,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const now = this.clock.now();
    const timeoutMs = Math.max(1, attempt.context.deadline - now);
    const margin = Math.min(LINK_MARGIN_MS, timeoutMs * LINK_MARGIN_SHARE);
    const message = encodeAttempt(attempt, now);
    const request = { ...message, deadlineInMs: message.deadlineInMs - margin };
    const reply = await this.peers.call(node, 'attempt', request, { timeoutMs, signal });
    if (reply.isOk) return decodeResult(reply.value);
    return toPeerFailure(reply.error, attempt, signal);
  }
}

/** Outcomes of link failures; all others count as `failed`. */
const LINK_OUTCOMES: ReadonlyMap<ResultCode, AttemptOutcome> = new Map([
  [ResultCode.PeerUnreachable, 'unreachable'],
  [ResultCode.MailboxFull, 'overloaded'],
  [ResultCode.PeerTimeout, 'timeout'],
]);

function toPeerFailure(
  failure: Failure,
  attempt: TargetAttempt,
  signal: AbortSignal,
): AttemptResult {
  const outcome = signal.aborted ? 'cancelled' : (LINK_OUTCOMES.get(failure.code) ?? 'failed');
  // Without a reply the attempts used below are unknown, so all granted attempts count as spent.
  const attemptsUsed = failure.execution === 'not-run' ? 0 : attempt.attemptsGranted;
  return { type: 'failure', outcome, failure, attemptsUsed };
}

function noFrontingNode(target: string): AttemptResult {
  const options = { execution: 'not-run', retryAfterMs: 500 } as const;
  const failure = createFailure(
    ResultCode.NoTargetAvailable,
    `no node fronts target ${target}`,
    options,
  );
  return { type: 'failure', outcome: 'unreachable', failure, attemptsUsed: 0 };
}

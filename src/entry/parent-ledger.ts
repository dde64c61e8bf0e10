/** Reserves attempts for calls by back ends at the node that holds the parent's ledger. */
import { Result } from 'true-myth';
import type { ConfigStore } from '../config/config-store.js';
import { createFailure, type Failure } from '../core/failure.js';
import type { Criticality } from '../core/request.js';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import { reserveForCall, returnFromCall } from '../target/attempt-reservation.js';
import type {
  ReserveAttemptsMessage,
  ReserveAttemptsReply,
  ReturnAttemptsMessage,
} from '../target/attempt-ledger-messages.js';
import type { TargetDispatcher } from '../target/target-dispatcher.js';
import type { InboundCall } from './call-router.js';

const LEDGER_CALL_TIMEOUT_MS = 500;
const RETRY_AFTER_MS = 100;

/** Parent attempt and the node that holds its ledger, as named by the baggage. */
export interface ParentReference {
  readonly parentAttemptId: string;
  readonly nodeId: string;
}

/** What a call inherits from its parent. */
export interface Reservation {
  readonly granted: number;
  readonly requestId: string;
  readonly criticality: Criticality;
  readonly depth: number;
  /** Local monotonic time. */
  readonly deadline: number;
}

/** Access to the ledgers of running attempts, at this node or at another one. */
export class ParentLedger {
  constructor(
    private readonly nodeId: string,
    private readonly dispatcher: TargetDispatcher,
    private readonly config: ConfigStore,
    private readonly peers: PeerNetwork,
    private readonly clock: Clock,
  ) {}

  /** Failures: `CallContextRequired` (no such parent), `AttemptsExhausted`, `PeerUnreachable`. */
  async reserve(parent: ParentReference, call: InboundCall): Promise<Result<Reservation, Failure>> {
    const message: ReserveAttemptsMessage = {
      parentAttemptId: parent.parentAttemptId,
      service: call.service.name,
      kindAttempts: call.kind.attempts,
    };
    const requestedAt = this.clock.now();
    const reply = await this.requestReservation(parent.nodeId, message);
    if (reply.isErr) return Result.err(reply.error);
    return checkReply(reply.value, call, requestedAt);
  }

  /** Returns attempts that a call did not use, and reports the threshold that it saw. */
  returnUnused(parent: ParentReference, message: ReturnAttemptsMessage): void {
    if (this.isLocal(parent.nodeId)) {
      returnFromCall(this.dispatcher, message);
      return;
    }
    const options = { timeoutMs: LEDGER_CALL_TIMEOUT_MS };
    // If the message is lost, the attempts stay counted as spent.
    void this.peers.call(parent.nodeId, 'returnAttempts', message, options);
  }

  private async requestReservation(
    nodeId: string,
    message: ReserveAttemptsMessage,
  ): Promise<Result<ReserveAttemptsReply, Failure>> {
    if (this.isLocal(nodeId)) {
      const now = this.clock.now();
      return Result.ok(reserveForCall(this.dispatcher, this.config, message, now));
    }
    const options = { timeoutMs: LEDGER_CALL_TIMEOUT_MS };
    const reply = await this.peers.call(nodeId, 'reserveAttempts', message, options);
    return reply.mapErr(({ detail }) => {
      const text = `attempt ledger of node ${nodeId} not reached: ${detail}`;
      const failureOptions = { execution: 'not-run', retryAfterMs: RETRY_AFTER_MS } as const;
      return createFailure(ResultCode.PeerUnreachable, text, failureOptions);
    });
  }

  private isLocal(nodeId: string): boolean {
    return nodeId === '' || nodeId === this.nodeId;
  }
}

function checkReply(
  reply: ReserveAttemptsReply,
  call: InboundCall,
  requestedAt: number,
): Result<Reservation, Failure> {
  if (!reply.found || reply.tenant !== call.context.tenant) {
    const detail = 'the attempt named in the baggage field is unknown or has ended';
    return Result.err(createFailure(ResultCode.CallContextRequired, detail));
  }
  if (reply.granted < 1) {
    const detail = 'the attempts of the whole call chain are used up';
    return Result.err(createFailure(ResultCode.AttemptsExhausted, detail));
  }
  const { granted, requestId, criticality, depth } = reply;
  const deadline = requestedAt + reply.deadlineInMs;
  return Result.ok({ granted, requestId, criticality, depth, deadline });
}

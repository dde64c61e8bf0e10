/** Reservations at the node that holds the ledger of a running attempt. */
import { minimalNeed, wantedAttempts, type CallGraph } from '../core/attempt-budget.js';
import type { ConfigStore } from '../config/config-store.js';
import type {
  ReserveAttemptsMessage,
  ReserveAttemptsReply,
  ReturnAttemptsMessage,
} from './attempt-ledger-messages.js';
import type { TargetDispatcher } from './target-dispatcher.js';

const NOT_FOUND: ReserveAttemptsReply = {
  found: false,
  granted: 0,
  requestId: '',
  tenant: '',
  criticality: 'sheddable',
  depth: 0,
  deadlineInMs: 0,
};

/** The services that each service calls, by the rules of a tenant. */
export function callGraphOf(config: ConfigStore, tenant: string): CallGraph {
  return (service) => config.findService(tenant, service)?.calls ?? [];
}

/** Reserves attempts for a call below a running attempt of this node. */
export function reserveForCall(
  dispatcher: TargetDispatcher,
  config: ConfigStore,
  message: ReserveAttemptsMessage,
  now: number,
): ReserveAttemptsReply {
  const parent = dispatcher.findParent(message.parentAttemptId);
  if (parent === undefined) return NOT_FOUND;
  const { context } = parent.attempt;
  const callsOf = callGraphOf(config, context.tenant);
  const others = callsOf(context.service).filter((callee) => callee !== message.service);
  const wanted = wantedAttempts(
    parent.attemptsLeft,
    message.kindAttempts,
    minimalNeed(message.service, callsOf),
    others.reduce((sum, callee) => sum + minimalNeed(callee, callsOf), 0),
  );
  return {
    found: true,
    granted: dispatcher.reserveAttempts(message.parentAttemptId, wanted),
    requestId: context.requestId,
    tenant: context.tenant,
    criticality: context.criticality,
    depth: context.depth,
    deadlineInMs: context.deadline - now,
  };
}

/** Returns unused attempts to the ledger and records the threshold that the call saw. */
export function returnFromCall(dispatcher: TargetDispatcher, message: ReturnAttemptsMessage): void {
  const { parentAttemptId, unused, service, threshold } = message;
  dispatcher.returnAttempts(parentAttemptId, unused);
  dispatcher.noteDownstream(parentAttemptId, service, threshold);
}

/** Request rounds to all members of a group, for the coordinators of claims and charges. */
import type { PlacementRecord } from '../core/claim/placement.js';
import type { ReplicaReply, ReplicaRequest } from '../core/claim/replica-messages.js';
import type { Random } from '../core/random.js';
import type { Clock } from '../kernel/clock.js';
import type { EventLog } from '../kernel/event.js';
import type { ClaimTiming } from './claim-timing.js';
import type { GroupAccess } from './group-access.js';
import type { ReplicaDelivery } from './replica-delivery.js';

/** Dependencies of a claim or charge requester. */
export interface RequesterOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly timing: ClaimTiming;
  readonly random: Random;
  readonly delivery: ReplicaDelivery;
  /** The group of a table key; `undefined` until the number of groups is known. */
  readonly groupOf: (key: string) => GroupAccess | undefined;
}

/** A round that collects one reply per member. */
export interface Round {
  readonly record: PlacementRecord;
  onReply(nodeId: string, reply: ReplicaReply | undefined): void;
}

/**
 * Sends a request to all members and resolves when `isSettled` returns true, every member has
 * replied, or the round's time limit or the deadline has passed. Later replies are ignored.
 */
export function settleRound(
  options: RequesterOptions,
  client: GroupAccess['client'],
  round: Round,
  request: ReplicaRequest,
  deadline: number,
  isSettled: () => boolean,
): Promise<void> {
  const { clock, timing } = options;
  const timeoutMs = Math.min(timing.roundTimeoutMs, deadline - clock.now());
  if (timeoutMs <= 0) return Promise.resolve();
  return new Promise((resolve) => {
    let open = true;
    const close = (): void => {
      open = false;
      cancel();
      resolve();
    };
    const cancel = clock.schedule(timeoutMs, close);
    const onReply = (nodeId: string, reply: ReplicaReply | undefined): void => {
      if (!open) return;
      round.onReply(nodeId, reply);
      if (isSettled()) close();
    };
    void client.queryAll(round.record, request, timeoutMs, onReply).then(() => {
      if (open) close();
    });
  });
}

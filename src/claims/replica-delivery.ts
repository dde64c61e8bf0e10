/** Delivers messages that every replica of a key should get, with a bounded number of repeats. */
import type { PlacementRecord } from '../core/claim/placement.js';
import type { ReplicaRequest } from '../core/claim/replica-messages.js';
import type { Clock } from '../kernel/clock.js';
import type { ClaimTiming } from './claim-timing.js';
import type { ReplicaClient } from './replica-client.js';

/** Sends of one message to one replica, the first included. */
const MAX_SENDS = 5;

/** What delivery needs. */
export interface DeliveryOptions {
  readonly clock: Clock;
  readonly timing: ClaimTiming;
  readonly client: ReplicaClient;
  /** Newest placement record: the members may change between two sends. */
  readonly placement: () => PlacementRecord | undefined;
  /** Takes in a newer record that a replica told about. */
  readonly observe: (record: PlacementRecord) => void;
}

/** Sender of releases, ends and returned charges. */
export class ReplicaDelivery {
  constructor(private readonly options: DeliveryOptions) {}

  /**
   * Sends a message to all members; repeats it in the background to those that did not take it.
   *
   * @returns resolves when the first sends have been answered or have timed out
   */
  async deliver(request: ReplicaRequest): Promise<void> {
    const record = this.options.placement();
    if (record === undefined) return;
    const sends = record.members.map(({ nodeId }) => this.send(nodeId, request, 1, record.epoch));
    await Promise.all(sends);
  }

  private async send(
    nodeId: string,
    request: ReplicaRequest,
    sends: number,
    epoch: number,
  ): Promise<void> {
    const { client, clock, timing } = this.options;
    const reply = await client.ask(nodeId, request, timing.roundTimeoutMs);
    if (reply?.type === 'not-voting' && reply.record !== undefined) {
      this.options.observe(reply.record);
    }
    if (reply?.type === 'done' || sends >= MAX_SENDS) return;
    const delayMs = timing.deliveryRetryMs * 2 ** (sends - 1);
    clock.schedule(delayMs, () => {
      const newest = this.options.placement();
      const changed = newest !== undefined && newest.epoch !== epoch;
      if (changed) this.deliverAgain(newest, request, sends + 1);
      else void this.send(nodeId, request, sends + 1, epoch);
    });
  }

  /** The epoch has changed: the message is for the new members; a second copy does no harm. */
  private deliverAgain(record: PlacementRecord, request: ReplicaRequest, sends: number): void {
    for (const { nodeId } of record.members) void this.send(nodeId, request, sends, record.epoch);
  }
}

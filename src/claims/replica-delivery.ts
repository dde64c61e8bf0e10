/**
 * Delivers `release`, `finish` and `give-back` messages. Retries until every member of the newest
 * epoch has confirmed, because a member that missed one could pass the old state on to the next
 * epoch.
 */
import { KEY_HORIZON_MS } from '../core/claim/claim-limits.js';
import type { DeliveredMessage } from '../core/claim/replica-messages.js';
import type { Clock } from '../kernel/clock.js';
import { pause } from '../kernel/pause.js';
import type { ClaimTiming } from './claim-timing.js';
import type { GroupAccess } from './group-access.js';

/** Maximum number of pending messages; the oldest are dropped first. */
const MAX_PENDING_MESSAGES = 20_000;

/** Maximum bytes of pending answers; beyond that, a `finish` is sent without its answer. */
const MAX_PENDING_ANSWER_BYTES = 16_777_216;

/** Longest pause between two sends of a message, in milliseconds. */
const MAX_RETRY_DELAY_MS = 2_000;

/** Interval of checking whether all messages are delivered at a planned stop, in milliseconds. */
const DRAIN_POLL_MS = 10;

/** Dependencies of {@link ReplicaDelivery}. */
export interface DeliveryOptions {
  readonly clock: Clock;
  readonly timing: ClaimTiming;
  /** The group of a key; its members may change between two sends. */
  readonly groupOf: (key: string) => GroupAccess | undefined;
}

/** A message without the epoch, which changes between sends. */
export type MessageWithoutEpoch = DeliveredMessage extends infer Each
  ? Each extends DeliveredMessage
    ? Omit<Each, 'epoch'>
    : never
  : never;

interface PendingMessage {
  readonly group: GroupAccess;
  readonly message: MessageWithoutEpoch;
  readonly answerBytes: number;
  /** Local monotonic time at which the message is dropped. */
  readonly expiresAt: number;
  /** Epoch whose members are counted in `confirmed` and `sendCount`. */
  epoch: number;
  sendCount: number;
  readonly confirmed: Set<string>;
}

/** Sends messages that every replica of a key should receive. */
export class ReplicaDelivery {
  private readonly pending = new Set<PendingMessage>();
  private answerBytes = 0;
  private stopped = false;

  constructor(private readonly options: DeliveryOptions) {}

  /** Messages that some member has not confirmed yet. */
  get size(): number {
    return this.pending.size;
  }

  /**
   * Sends a message to all members; retries in the background for those that did not confirm.
   *
   * @returns resolves when the first sends have been confirmed, refused or timed out
   */
  async deliver(key: string, message: MessageWithoutEpoch): Promise<void> {
    const group = this.options.groupOf(key);
    if (group?.placement === undefined) return;
    await this.send(this.add(group, message));
  }

  /** Planned stop: waits until all messages are delivered, or until `deadline` (monotonic). */
  async drain(deadline: number): Promise<void> {
    const { clock } = this.options;
    while (this.pending.size > 0 && clock.now() < deadline) await pause(clock, DRAIN_POLL_MS);
  }

  /** Drops all pending messages. */
  stop(): void {
    this.stopped = true;
    this.pending.clear();
  }

  private add(group: GroupAccess, message: MessageWithoutEpoch): PendingMessage {
    const body = message.type === 'finish' ? message.answer?.body : undefined;
    const size = body?.byteLength ?? 0;
    const fits = this.answerBytes + size <= MAX_PENDING_ANSWER_BYTES;
    const pending: PendingMessage = {
      group,
      message: fits ? message : withoutAnswer(message),
      answerBytes: fits ? size : 0,
      expiresAt: this.options.clock.now() + KEY_HORIZON_MS,
      epoch: 0,
      sendCount: 0,
      confirmed: new Set(),
    };
    this.answerBytes += pending.answerBytes;
    this.pending.add(pending);
    const [oldest] = this.pending;
    if (this.pending.size > MAX_PENDING_MESSAGES && oldest !== undefined) this.remove(oldest);
    return pending;
  }

  private remove(pending: PendingMessage): void {
    if (this.pending.delete(pending)) this.answerBytes -= pending.answerBytes;
  }

  /** Sends to each member that has not confirmed; schedules the next send when needed. */
  private async send(pending: PendingMessage): Promise<void> {
    const record = pending.group.placement;
    if (this.stopped || record === undefined || !this.pending.has(pending)) return;
    if (pending.epoch !== record.epoch) {
      pending.epoch = record.epoch;
      pending.sendCount = 0;
      pending.confirmed.clear();
    }
    pending.sendCount += 1;
    const missing = record.members.filter(({ nodeId }) => !pending.confirmed.has(nodeId));
    await Promise.all(missing.map(({ nodeId }) => this.sendTo(nodeId, pending)));
    const isNewest = pending.group.placement?.epoch === record.epoch;
    const isDelivered = isNewest && pending.confirmed.size >= record.members.length;
    if (isDelivered || this.options.clock.now() >= pending.expiresAt) this.remove(pending);
    else this.scheduleNext(pending);
  }

  private async sendTo(nodeId: string, pending: PendingMessage): Promise<void> {
    const { timing } = this.options;
    const { client } = pending.group;
    const request = { ...pending.message, epoch: pending.epoch };
    const reply = await client.query(nodeId, request, timing.roundTimeoutMs);
    if (reply?.type === 'done') pending.confirmed.add(nodeId);
    if (reply?.type === 'not-voting' && reply.record !== undefined)
      pending.group.observe(reply.record);
  }

  private scheduleNext(pending: PendingMessage): void {
    const { clock, timing } = this.options;
    const delayMs = Math.min(
      timing.deliveryRetryMs * 2 ** (pending.sendCount - 1),
      MAX_RETRY_DELAY_MS,
    );
    clock.schedule(delayMs, () => {
      void this.send(pending);
    });
  }
}

/** Removes the answer of a `finish`; retries with the key then get an unknown outcome. */
function withoutAnswer(message: MessageWithoutEpoch): MessageWithoutEpoch {
  if (message.type !== 'finish') return message;
  return { type: 'finish', subject: message.subject };
}

/**
 * Delivers releases, ends and returned charges: repeated until every member of the newest epoch
 * has confirmed, because a member that missed one could pass the old state on to a next epoch.
 */
import { KEY_HORIZON_MS } from '../core/claim/claim-limits.js';
import type { DeliveredMessage } from '../core/claim/replica-messages.js';
import type { Clock } from '../kernel/clock.js';
import { pause } from '../kernel/pause.js';
import type { ClaimTiming } from './claim-timing.js';
import type { GroupAccess } from './group-access.js';

/** Messages under way at most; the oldest are given up first. */
const MAX_PENDING = 20_000;

/** Bytes of answers under way at most; beyond, an end is told without its answer. */
const MAX_PENDING_ANSWER_BYTES = 16_777_216;

/** Longest pause between two sends of a message, in milliseconds. */
const MAX_RETRY_MS = 2_000;

/** Interval of looking whether all messages are delivered at a planned stop, in milliseconds. */
const DRAIN_POLL_MS = 10;

/** What delivery needs. */
export interface DeliveryOptions {
  readonly clock: Clock;
  readonly timing: ClaimTiming;
  /** The group of a key; its members may change between two sends. */
  readonly groupOf: (key: string) => GroupAccess | undefined;
}

/** A message without the epoch, which changes between sends. */
export type UnsentMessage = DeliveredMessage extends infer Each
  ? Each extends DeliveredMessage
    ? Omit<Each, 'epoch'>
    : never
  : never;

interface Pending {
  readonly group: GroupAccess;
  readonly message: UnsentMessage;
  readonly answerBytes: number;
  /** Local monotonic time at which the message is given up. */
  readonly until: number;
  /** Epoch whose members are counted in `confirmed` and `sends`. */
  epoch: number;
  sends: number;
  readonly confirmed: Set<string>;
}

/** Sender of messages that every replica should get. */
export class ReplicaDelivery {
  private readonly pending = new Set<Pending>();
  private answerBytes = 0;
  private stopped = false;

  constructor(private readonly options: DeliveryOptions) {}

  /** Messages that some member has not confirmed yet. */
  get size(): number {
    return this.pending.size;
  }

  /**
   * Sends a message to all members; repeats it in the background to those that did not take it.
   *
   * @returns resolves when the first sends have been answered or have timed out
   */
  async deliver(key: string, message: UnsentMessage): Promise<void> {
    const group = this.options.groupOf(key);
    if (group?.placement === undefined) return;
    await this.send(this.add(group, message));
  }

  /** Planned stop: waits until all messages are delivered, or until local monotonic time `end`. */
  async drain(end: number): Promise<void> {
    const { clock } = this.options;
    while (this.pending.size > 0 && clock.now() < end) await pause(clock, DRAIN_POLL_MS);
  }

  /** Gives all messages up. */
  stop(): void {
    this.stopped = true;
    this.pending.clear();
  }

  private add(group: GroupAccess, message: UnsentMessage): Pending {
    const body = message.type === 'finish' ? message.answer?.body : undefined;
    const size = body?.byteLength ?? 0;
    const fits = this.answerBytes + size <= MAX_PENDING_ANSWER_BYTES;
    const pending: Pending = {
      group,
      message: fits ? message : withoutAnswer(message),
      answerBytes: fits ? size : 0,
      until: this.options.clock.now() + KEY_HORIZON_MS,
      epoch: 0,
      sends: 0,
      confirmed: new Set(),
    };
    this.answerBytes += pending.answerBytes;
    this.pending.add(pending);
    const [oldest] = this.pending;
    if (this.pending.size > MAX_PENDING && oldest !== undefined) this.remove(oldest);
    return pending;
  }

  private remove(pending: Pending): void {
    if (this.pending.delete(pending)) this.answerBytes -= pending.answerBytes;
  }

  /** One send to each member that has not confirmed; schedules the next one when needed. */
  private async send(pending: Pending): Promise<void> {
    const record = pending.group.placement;
    if (this.stopped || record === undefined || !this.pending.has(pending)) return;
    if (pending.epoch !== record.epoch) {
      pending.epoch = record.epoch;
      pending.sends = 0;
      pending.confirmed.clear();
    }
    pending.sends += 1;
    const missing = record.members.filter(({ nodeId }) => !pending.confirmed.has(nodeId));
    await Promise.all(missing.map(({ nodeId }) => this.sendTo(nodeId, pending)));
    const isNewest = pending.group.placement?.epoch === record.epoch;
    const isDelivered = isNewest && pending.confirmed.size >= record.members.length;
    if (isDelivered || this.options.clock.now() >= pending.until) this.remove(pending);
    else this.scheduleNext(pending);
  }

  private async sendTo(nodeId: string, pending: Pending): Promise<void> {
    const { timing } = this.options;
    const { client } = pending.group;
    const request = { ...pending.message, epoch: pending.epoch };
    const reply = await client.ask(nodeId, request, timing.roundTimeoutMs);
    if (reply?.type === 'done') pending.confirmed.add(nodeId);
    if (reply?.type === 'not-voting' && reply.record !== undefined)
      pending.group.observe(reply.record);
  }

  private scheduleNext(pending: Pending): void {
    const { clock, timing } = this.options;
    const delayMs = Math.min(timing.deliveryRetryMs * 2 ** (pending.sends - 1), MAX_RETRY_MS);
    clock.schedule(delayMs, () => {
      void this.send(pending);
    });
  }
}

/** An end whose answer is not kept: repeats of the key learn that its outcome is unknown. */
function withoutAnswer(message: UnsentMessage): UnsentMessage {
  if (message.type !== 'finish') return message;
  return { type: 'finish', subject: message.subject };
}

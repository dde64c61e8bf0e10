/**
 * What a node believes of the target beside it, from the target's own reports. Pure: reports in,
 * verdicts out. Reports may come late, out of order, from an earlier incarnation, or from
 * something that is not the target.
 */
import type { Departure, Heartbeat } from '../platform-adapter.js';
import type { TargetState } from '../link/link-messages.js';

/**
 * One life of a target. It may start again under its id: then its start tells the lives apart, and
 * without a start the id alone does.
 */
export interface Incarnation {
  readonly id: string;
  /** Unix milliseconds by the target's clock; absent where targets don't tell. */
  readonly startedAt?: number;
}

/** The target as last reported. */
export interface RegisteredTarget extends Incarnation {
  readonly state: Exclude<TargetState, 'unknown'>;
  readonly slots: number;
  /** Monotonic time until which the target is slow from its start. */
  readonly warmUntil: number;
}

/** What becomes of a report. */
export type Verdict =
  /** Taken in; the target is as `current` says. */
  | 'accepted'
  /** Overtaken by a newer report; it says nothing. */
  | 'outdated'
  /** Names another target than the one beside this node. */
  | 'foreign'
  /** Another incarnation than the one known; to be confirmed before it counts. */
  | 'unconfirmed';

/** Most incarnations that are remembered as gone. */
const MAX_GONE = 64;

/** See the module comment. */
export class TargetRegistration {
  private target: RegisteredTarget | undefined;
  private sequence = -Infinity;
  /** Newest life that is gone, by id; undefined: every life of the id. */
  private readonly gone = new Map<string, number | undefined>();

  /**
   * @param service service of the target beside this node
   * @param address address of the target beside this node
   */
  constructor(
    private readonly service: string,
    private readonly address: string,
  ) {}

  /** The target as known now. */
  get current(): RegisteredTarget | undefined {
    return this.target;
  }

  /** An earlier process of this node acknowledged that this incarnation leaves. */
  restoreLeft(left: Incarnation): void {
    this.markGone(left);
    if (this.target !== undefined && isSameIncarnation(this.target, left)) this.setLeaving();
  }

  /**
   * An earlier process of this node knew this incarnation as ready, and the target still says that
   * it has this id. Reports that have come meanwhile go first.
   */
  restoreReady(now: number, ready: Incarnation, slots: number): void {
    if (this.target !== undefined || this.isGone(ready)) return;
    this.target = { ...ready, state: 'ready', slots, warmUntil: now };
  }

  /** @param confirmed the target itself has said that it has this id */
  onHeartbeat(now: number, heartbeat: Heartbeat, confirmed: boolean): Verdict {
    if (heartbeat.service !== this.service || heartbeat.address !== this.address) return 'foreign';
    const reported = toIncarnation(heartbeat);
    const { target } = this;
    if (target !== undefined) {
      if (isSameIncarnation(target, reported)) return this.onKnown(now, heartbeat);
      if (isFromAnotherWriter(target, reported)) return 'foreign';
      if (isEarlier(reported, target)) return 'outdated';
    }
    if (this.isGone(reported)) return 'outdated';
    // The target itself tells its id only, so that another life of one id needs no confirmation.
    if (target !== undefined && target.id !== reported.id && !confirmed) return 'unconfirmed';
    if (target !== undefined) this.markGone(target);
    this.sequence = heartbeat.sequence;
    this.take(now, heartbeat);
    return 'accepted';
  }

  /** The target leaves without having drained, or ends after it. */
  onDeparture({ targetId, startedAt }: Departure): Verdict {
    const left = { id: targetId, ...(startedAt === undefined ? {} : { startedAt }) };
    const { target } = this;
    if (target?.id !== targetId) return this.gone.has(targetId) ? 'outdated' : 'foreign';
    if (isEarlier(left, target)) return 'outdated';
    this.setLeaving();
    this.markGone(left);
    return 'accepted';
  }

  /** The target answered as another incarnation; nothing is known until it reports. */
  forget(targetId: string): void {
    if (this.target?.id !== targetId) return;
    this.markGone(this.target);
    this.target = undefined;
    this.sequence = -Infinity;
  }

  private onKnown(now: number, heartbeat: Heartbeat): Verdict {
    const { state, sequence } = heartbeat;
    // Draining is final for an incarnation, in whatever order its reports come.
    if (state === 'draining') this.setLeaving();
    if (sequence <= this.sequence) return 'outdated';
    this.sequence = sequence;
    if (this.target?.state === 'ready') this.take(now, heartbeat);
    return 'accepted';
  }

  private take(now: number, heartbeat: Heartbeat): void {
    const { slots, state, warmUpMs } = heartbeat;
    const incarnation = toIncarnation(heartbeat);
    const known = state === 'ready' && !this.isGone(incarnation) ? 'ready' : 'leaving';
    this.target = { ...incarnation, state: known, slots, warmUntil: now + warmUpMs };
  }

  private setLeaving(): void {
    if (this.target === undefined) return;
    this.markGone(this.target);
    this.target = { ...this.target, state: 'leaving' };
  }

  private isGone({ id, startedAt }: Incarnation): boolean {
    if (!this.gone.has(id)) return false;
    const newest = this.gone.get(id);
    return newest === undefined || startedAt === undefined || startedAt <= newest;
  }

  private markGone({ id, startedAt }: Incarnation): void {
    if (this.isGone({ id, ...(startedAt === undefined ? {} : { startedAt }) })) return;
    this.gone.delete(id);
    this.gone.set(id, startedAt);
    if (this.gone.size <= MAX_GONE) return;
    const [oldest] = this.gone.keys();
    this.gone.delete(oldest!);
  }
}

/** Whether two are one life. */
export function isSameIncarnation(one: Incarnation, other: Incarnation): boolean {
  return one.id === other.id && one.startedAt === other.startedAt;
}

/** A text that differs from life to life. */
export function incarnationText({ id, startedAt }: Incarnation): string {
  return startedAt === undefined ? id : `${id} ${startedAt}`;
}

/** Reads what {@link incarnationText} has written. */
export function parseIncarnation(text: string): Incarnation {
  const [id = '', startedAt] = text.split(' ');
  return startedAt === undefined ? { id } : { id, startedAt: Number(startedAt) };
}

function toIncarnation({ targetId, startedAt }: Heartbeat): Incarnation {
  return { id: targetId, ...(startedAt === undefined ? {} : { startedAt }) };
}

/** A target that tells its start tells it in all reports. */
function isFromAnotherWriter(target: Incarnation, reported: Incarnation): boolean {
  return target.startedAt !== undefined && reported.startedAt === undefined;
}

function isEarlier(reported: Incarnation, target: Incarnation): boolean {
  if (reported.startedAt === undefined || target.startedAt === undefined) return false;
  return reported.startedAt < target.startedAt;
}

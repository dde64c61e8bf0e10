/**
 * State of the local target, derived from the target's own reports without side effects. Reports may arrive
 * late, out of order, from an earlier incarnation, or from a sender that is not the target.
 */
import type { Departure, Heartbeat } from '../platform-adapter.js';
import type { TargetState } from '../link/link-messages.js';

/**
 * One incarnation of a target. A target may restart under the same id; then the start time distinguishes the
 * incarnations. Without a start time the id alone identifies one.
 */
export interface Incarnation {
  readonly id: string;
  /** Start in Unix milliseconds by the target's clock; absent where targets don't report it. */
  readonly startedAt?: number;
}

/** The target and its last reported state. */
export interface RegisteredTarget extends Incarnation {
  readonly state: Exclude<TargetState, 'unknown'>;
  readonly slots: number;
  /** Monotonic time until which the target is warming up. */
  readonly warmUntil: number;
}

/** Result of the check of a report. */
export type Verdict =
  /** Applied; `current` returns the new state. */
  | 'accepted'
  /**
   * Superseded by a newer report or incarnation. In a late report of the current incarnation `draining` still
   * takes effect, since it is final.
   */
  | 'outdated'
  /** Does not come from the local target. */
  | 'foreign'
  /** From another incarnation than the known one; must be confirmed before it is applied. */
  | 'unconfirmed';

/** Most ids for which gone incarnations are recorded. */
const MAX_GONE_INCARNATIONS = 64;

/** Checks reports of the local target and holds the state that they give. */
export class TargetRegistration {
  private target: RegisteredTarget | undefined;
  private sequence = -Infinity;
  /** Start of the newest incarnation that is gone, by id; undefined: every incarnation of the id is gone. */
  private readonly gone = new Map<string, number | undefined>();

  /**
   * @param service service of the local target
   * @param address address of the local target
   */
  constructor(
    private readonly service: string,
    private readonly address: string,
  ) {}

  /** The target and its current state; undefined while it is not known. */
  get current(): RegisteredTarget | undefined {
    return this.target;
  }

  /** Restores that this incarnation has left, as an earlier process of this node or a peer recorded. */
  restoreLeft(left: Incarnation): void {
    this.markGone(left);
    if (this.target !== undefined && isSameIncarnation(this.target, left)) this.setLeaving();
  }

  /**
   * Restores an incarnation that an earlier process of this node knew as ready and whose target still answers
   * with this id. Reports received in the meantime take precedence.
   */
  restoreReady(now: number, ready: Incarnation, slots: number): void {
    if (this.target !== undefined || this.isGone(ready)) return;
    this.target = { ...ready, state: 'ready', slots, warmUntil: now };
  }

  /** @param confirmed whether the target itself has answered with this id */
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
    // A probe returns only the id, so it cannot confirm another incarnation of the same id.
    if (target !== undefined && target.id !== reported.id && !confirmed) return 'unconfirmed';
    if (target !== undefined) this.markGone(target);
    this.sequence = heartbeat.sequence;
    this.setFromHeartbeat(now, heartbeat);
    return 'accepted';
  }

  /** Applies a departure: the target leaves without having drained, or stops after draining. */
  onDeparture({ targetId, startedAt }: Departure): Verdict {
    const left = { id: targetId, ...(startedAt === undefined ? {} : { startedAt }) };
    const { target } = this;
    if (target?.id !== targetId) return this.gone.has(targetId) ? 'outdated' : 'foreign';
    if (isEarlier(left, target)) return 'outdated';
    this.setLeaving();
    this.markGone(left);
    return 'accepted';
  }

  /** Discards the target after it answered with another id; it is unknown until its next report. */
  discard(targetId: string): void {
    if (this.target?.id !== targetId) return;
    this.markGone(this.target);
    this.target = undefined;
    this.sequence = -Infinity;
  }

  private onKnown(now: number, heartbeat: Heartbeat): Verdict {
    const { state, sequence } = heartbeat;
    // Draining is final for an incarnation, in whatever order its reports arrive.
    if (state === 'draining') this.setLeaving();
    if (sequence <= this.sequence) return 'outdated';
    this.sequence = sequence;
    if (this.target?.state === 'ready') this.setFromHeartbeat(now, heartbeat);
    return 'accepted';
  }

  private setFromHeartbeat(now: number, heartbeat: Heartbeat): void {
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
    if (this.gone.size <= MAX_GONE_INCARNATIONS) return;
    const [oldest] = this.gone.keys();
    this.gone.delete(oldest!);
  }
}

export function isSameIncarnation(one: Incarnation, other: Incarnation): boolean {
  return one.id === other.id && one.startedAt === other.startedAt;
}

/** Formats an incarnation as a text that differs between incarnations. */
export function incarnationText({ id, startedAt }: Incarnation): string {
  return startedAt === undefined ? id : `${id} ${startedAt}`;
}

/** Parses a text of {@link incarnationText}. */
export function parseIncarnation(text: string): Incarnation {
  const [id = '', startedAt] = text.split(' ');
  return startedAt === undefined ? { id } : { id, startedAt: Number(startedAt) };
}

function toIncarnation({ targetId, startedAt }: Heartbeat): Incarnation {
  return { id: targetId, ...(startedAt === undefined ? {} : { startedAt }) };
}

/** Whether a report lacks the start time, which a target reports either always or never. */
function isFromAnotherWriter(target: Incarnation, reported: Incarnation): boolean {
  return target.startedAt !== undefined && reported.startedAt === undefined;
}

function isEarlier(reported: Incarnation, target: Incarnation): boolean {
  if (reported.startedAt === undefined || target.startedAt === undefined) return false;
  return reported.startedAt < target.startedAt;
}

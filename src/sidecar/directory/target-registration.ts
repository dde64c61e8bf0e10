/**
 * What a node believes of the target beside it, from the target's own reports. Pure: reports in,
 * verdicts out. Reports may come late, out of order, from an earlier incarnation, or from
 * something that is not the target.
 */
import type { Heartbeat } from '../platform-adapter.js';
import type { TargetState } from '../link/link-messages.js';

/** The target as last reported. */
export interface RegisteredTarget {
  readonly id: string;
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
  private readonly gone = new Set<string>();

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
  restoreLeft(targetId: string): void {
    this.markGone(targetId);
    if (this.target?.id === targetId) this.setLeaving();
  }

  /** @param confirmed the target itself has said that it is this incarnation */
  onHeartbeat(now: number, heartbeat: Heartbeat, confirmed: boolean): Verdict {
    if (heartbeat.service !== this.service || heartbeat.address !== this.address) return 'foreign';
    if (this.target?.id === heartbeat.targetId) return this.onKnown(now, heartbeat);
    if (this.gone.has(heartbeat.targetId)) return 'outdated';
    if (this.target !== undefined && !confirmed) return 'unconfirmed';
    if (this.target !== undefined) this.markGone(this.target.id);
    this.sequence = heartbeat.sequence;
    this.take(now, heartbeat);
    return 'accepted';
  }

  /** The target leaves without having drained, or ends after it. */
  onDeparture(targetId: string): Verdict {
    if (this.target?.id !== targetId) return this.gone.has(targetId) ? 'outdated' : 'foreign';
    this.setLeaving();
    return 'accepted';
  }

  /** The target answered as another incarnation; nothing is known until it reports. */
  forget(targetId: string): void {
    if (this.target?.id !== targetId) return;
    this.markGone(targetId);
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

  private take(now: number, { targetId, slots, state, warmUpMs }: Heartbeat): void {
    const known = state === 'ready' && !this.gone.has(targetId) ? 'ready' : 'leaving';
    this.target = { id: targetId, state: known, slots, warmUntil: now + warmUpMs };
  }

  private setLeaving(): void {
    if (this.target === undefined) return;
    this.markGone(this.target.id);
    this.target = { ...this.target, state: 'leaving' };
  }

  private markGone(targetId: string): void {
    this.gone.add(targetId);
    if (this.gone.size <= MAX_GONE) return;
    const [oldest] = this.gone;
    this.gone.delete(oldest!);
  }
}

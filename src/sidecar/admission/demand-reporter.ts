/** Sends an entry node's demand for a short service to its coordinator and receives the plans. */
import type { AdmissionPlan } from '../../core/admission/admission-plan.js';
import type { DemandRow } from '../../core/admission/demand-rows.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import type { AdmissionPort, PlanReply } from './admission-messages.js';
import type { CoordinatorChoice } from './coordinator-choice.js';

/** Time without a reply, or without an open link, after which another node is chosen, in milliseconds. */
const REPLY_TIMEOUT_MS = 400;
/** Pause before the link to the coordinator is looked at again while it opens, in milliseconds. */
const CONNECT_PAUSE_MS = 50;
/** A timer this late shows that this node was delayed; replies may be unread then. */
const DELAYED_MS = 100;

export interface DemandReporterOptions {
  readonly node: string;
  readonly service: string;
  readonly clock: Clock;
  readonly choice: CoordinatorChoice;
  /** Port to a node; undefined while no link to it is open. */
  portOf(node: string): AdmissionPort | undefined;
  /** Whether the service is short still. */
  isShort(now: number): boolean;
  /** Time until the next report. */
  reportDelayMs(now: number): number;
  rows(now: number): readonly DemandRow[];
  onPlan(plan: AdmissionPlan): void;
  onInvalid(node: string): void;
  /** Called at each report, and when the last one has been sent. */
  onTick(isLast: boolean): void;
}

/** Reports while the service is short; no timer runs otherwise. */
export class DemandReporter {
  private cancelTimer: CancelTimer | undefined;
  private dueAt = 0;
  /** Node that was chosen last, and since when it has not replied. */
  private waiting: { readonly node: string; readonly since: number } | undefined;

  constructor(private readonly options: DemandReporterOptions) {}

  /** Begins to report; does nothing when reports are sent already. */
  start(): void {
    if (this.cancelTimer !== undefined) return;
    this.dueAt = this.options.clock.now();
    this.waiting = undefined;
    this.tick();
  }

  close(): void {
    this.cancelTimer?.();
    this.cancelTimer = undefined;
  }

  private tick(): void {
    const { clock, isShort, onTick } = this.options;
    const now = clock.now();
    this.cancelTimer = undefined;
    if (!isShort(now)) {
      onTick(true);
      return;
    }
    this.passOverSilent(now);
    const delayMs = this.report(now) ? this.options.reportDelayMs(now) : CONNECT_PAUSE_MS;
    onTick(false);
    this.dueAt = now + delayMs;
    this.cancelTimer = clock.schedule(delayMs, () => {
      this.tick();
    });
  }

  private passOverSilent(now: number): void {
    if (this.waiting === undefined) return;
    if (now - this.dueAt > DELAYED_MS) {
      this.waiting = { ...this.waiting, since: now };
    } else if (now - this.waiting.since >= REPLY_TIMEOUT_MS) {
      this.options.choice.skip(now, this.waiting.node);
      this.waiting = undefined;
    }
  }

  /** @returns whether the report was sent */
  private report(now: number): boolean {
    const { node: from, service, choice, portOf } = this.options;
    const node = choice.choose(now);
    if (this.waiting?.node !== node) this.waiting = { node, since: now };
    const port = portOf(node);
    if (port === undefined) return false;
    const rows = this.options.rows(now);
    port.reportDemand({ node: from, service, rows, invalid: 0 }, (reply) => {
      this.onReply(node, reply);
    });
    return true;
  }

  private onReply(node: string, { plan, invalid }: PlanReply): void {
    if (this.waiting?.node === node) this.waiting = undefined;
    if (invalid > 0) this.options.onInvalid(node);
    if (plan !== undefined) this.options.onPlan(plan);
  }
}

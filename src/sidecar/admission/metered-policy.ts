/** An overload policy whose target gates are measured, without changes to the gates or their callers. */
import type { GateMeter } from '../../core/admission/gate-meter.js';
import type { GateAction, OverloadPolicy, StatedLoad, TargetGate } from '../../core/overload.js';
import type { AttemptOutcome, LoadReport, RequestContext } from '../../core/request.js';
import { ResultCode } from '../../core/result-code.js';

/**
 * Measures the gates that the policy creates.
 *
 * @param onBusy called for calls that are offered while the gate is busy
 */
export function createMeteredPolicy(
  policy: OverloadPolicy,
  meter: GateMeter,
  onBusy: () => void,
): OverloadPolicy {
  let current: TargetGate | undefined;
  return {
    name: policy.name,
    createServiceRouter: (options) => policy.createServiceRouter(options),
    createTargetGate: (options) => {
      meter.reset();
      meter.noteLimit(options.initialLimit);
      // Calls of a gate that was replaced may end later; the meter no longer counts them.
      const isCurrent = (gate: TargetGate): boolean => gate === current;
      current = new MeteredGate(policy.createTargetGate(options), meter, isCurrent, onBusy);
      return current;
    },
  };
}

/** Counts the calls of a gate. */
class MeteredGate implements TargetGate {
  constructor(
    private readonly gate: TargetGate,
    private readonly meter: GateMeter,
    private readonly isCurrent: (gate: TargetGate) => boolean,
    private readonly onBusy: () => void,
  ) {}

  offer(now: number, ticket: number, request: RequestContext): readonly GateAction[] {
    this.meter.noteOffered();
    if (this.meter.isBusy) this.onBusy();
    return this.note(this.gate.offer(now, ticket, request));
  }

  complete(now: number, ticket: number, outcome: AttemptOutcome): readonly GateAction[] {
    this.noteEnd();
    return this.note(this.gate.complete(now, ticket, outcome));
  }

  cancel(now: number, ticket: number): readonly GateAction[] {
    this.noteEnd();
    return this.note(this.gate.cancel(now, ticket));
  }

  onTimer(now: number): readonly GateAction[] {
    return this.note(this.gate.onTimer(now));
  }

  nextTimer(): number | undefined {
    return this.gate.nextTimer();
  }

  report(now: number, request?: RequestContext): LoadReport {
    const load = this.gate.report(now, request);
    this.meter.noteLimit(load.limit);
    return load;
  }

  noteDownstream(...noted: Parameters<TargetGate['noteDownstream']>): void {
    this.gate.noteDownstream(...noted);
  }

  noteWastedRun(now: number, request: RequestContext): void {
    this.gate.noteWastedRun(now, request);
  }

  noteStatedLimit(
    now: number,
    sentAt: number,
    requestsPerSecond: number | undefined,
  ): readonly GateAction[] {
    return this.note(this.gate.noteStatedLimit(now, sentAt, requestsPerSecond));
  }

  statedLimit(): number | undefined {
    return this.gate.statedLimit();
  }

  noteStatedLoad(now: number, load: StatedLoad): readonly GateAction[] {
    return this.note(this.gate.noteStatedLoad(now, load));
  }

  private noteEnd(): void {
    if (this.isCurrent(this)) this.meter.noteEnd();
  }

  private note(actions: readonly GateAction[]): readonly GateAction[] {
    for (const action of actions) {
      if (action.type !== 'refuse') continue;
      this.noteEnd();
      if (action.refusal.code !== ResultCode.TargetRateLimited) this.meter.noteRefused();
    }
    return actions;
  }
}

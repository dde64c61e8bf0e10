/** The calls that a back end makes while it runs one attempt, through its fronting node. */
import { wantedAttempts } from '../core/attempt-budget.js';
import type { AttemptLedger } from '../core/attempt-ledger.js';
import { ResultCode } from '../core/result-code.js';
import type { CallSite } from './deployment.js';
import { EmulatedCall } from './emulated-call.js';
import type { CallEnd } from './request-record.js';
import type { EmulatedNode } from './emulated-node.js';
import type { IncomingAttempt, SimulationContext } from './simulation-context.js';

/** The target side whose back end makes the calls. */
export interface ParentTargetSide {
  readonly node: EmulatedNode;
  noteDownstream(service: string, threshold: number, kind: string): void;
}

/** The calls of one attempt, sequential or parallel. */
export class DownstreamCalls {
  /** Code of the call that failed last. */
  lastFailureCode = ResultCode.Ok;
  private readonly running = new Set<EmulatedCall>();
  private unfinished = 0;
  private stopped = false;
  private done: ((succeeded: boolean) => void) | undefined;

  constructor(
    private readonly simulation: SimulationContext,
    private readonly parent: ParentTargetSide,
    private readonly attempt: IncomingAttempt,
    private readonly ledger: AttemptLedger,
  ) {}

  /** Starts the calls; calls `done` once, unless they are cancelled first. */
  start(done: (succeeded: boolean) => void): void {
    const { calls, parallel } = this.attempt.site;
    this.done = done;
    this.unfinished = calls.length;
    if (calls.length === 0) done(true);
    else if (parallel) for (const site of calls) this.startCall(site);
    else this.startCall(calls[0]!);
  }

  /** Cancels the running calls if the policy's data path cancels. */
  cancel(): void {
    this.stopped = true;
    for (const call of this.running) call.cancel();
    this.running.clear();
  }

  private startCall(site: CallSite): void {
    // The request reaches the back end's node after the local delay.
    this.simulation.queue.schedule(this.simulation.deployment.localDelayMs, () => {
      if (!this.stopped) this.route(site);
    });
  }

  private route(site: CallSite): void {
    const { context, record, id } = this.attempt;
    const granted = this.reserve(site);
    const call: EmulatedCall = new EmulatedCall(this.simulation, this.parent.node, {
      site,
      record,
      attempts: granted,
      deadline: context.deadline,
      onEnd: (end) => {
        const now = this.simulation.queue.now();
        this.ledger.giveBack(id, granted - end.attemptsUsed);
        const threshold = this.parent.node.threshold(site.service, site.kind.name, now);
        this.parent.noteDownstream(site.service, threshold, this.attempt.site.kind.name);
        this.simulation.queue.schedule(this.simulation.deployment.localDelayMs, () => {
          this.onCallEnd(call, site, end);
        });
      },
    });
    this.running.add(call);
    call.start();
  }

  private reserve(site: CallSite): number {
    if (!this.simulation.profile.sharesAttempts) return site.size;
    const others = this.simulation
      .callsOf(this.attempt.site.service)
      .filter((name) => name !== site.service);
    const needOfOthers = others.reduce((sum, name) => sum + this.simulation.needOf(name), 0);
    const wanted = wantedAttempts(
      this.ledger.remaining(this.attempt.id),
      site.kind.attempts,
      this.simulation.needOf(site.service),
      needOfOthers,
    );
    return this.ledger.reserve(this.attempt.id, wanted);
  }

  private onCallEnd(call: EmulatedCall, site: CallSite, end: CallEnd): void {
    this.running.delete(call);
    if (this.stopped) return;
    this.unfinished -= 1;
    if (end.result !== 'complete') {
      this.lastFailureCode = end.code;
      this.cancel();
      this.done?.(false);
    } else if (this.unfinished === 0) {
      this.done?.(true);
    } else if (!this.attempt.site.parallel) {
      const { calls } = this.attempt.site;
      this.startCall(calls[calls.indexOf(site) + 1]!);
    }
  }
}

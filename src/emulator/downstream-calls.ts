/** The calls that a back end makes below one attempt, through the node that fronts it. */
import { wantedAttempts } from '../core/attempt-budget.js';
import type { AttemptLedger } from '../core/attempt-ledger.js';
import { ResultCode } from '../core/result-code.js';
import type { CallSite } from './deployment.js';
import { EmulatedCall } from './emulated-call.js';
import type { CallEnd } from './request-record.js';
import type { EmulatedNode } from './emulated-node.js';
import type { IncomingAttempt, World } from './world.js';

/** The target side whose back end makes the calls. */
export interface CallingSide {
  readonly node: EmulatedNode;
  noteDownstream(service: string, threshold: number, kind: string): void;
}

/** Calls of one attempt: one after another, or all at once. */
export class DownstreamCalls {
  /** Code of the call that failed last. */
  lastFailureCode = ResultCode.Ok;
  private readonly running = new Set<EmulatedCall>();
  private left = 0;
  private stopped = false;
  private done: ((succeeded: boolean) => void) | undefined;

  constructor(
    private readonly world: World,
    private readonly parent: CallingSide,
    private readonly attempt: IncomingAttempt,
    private readonly ledger: AttemptLedger,
  ) {}

  /** Starts the calls; `done` is called once, unless they are cancelled before. */
  start(done: (succeeded: boolean) => void): void {
    const { calls, parallel } = this.attempt.site;
    this.done = done;
    this.left = calls.length;
    if (calls.length === 0) done(true);
    else if (parallel) for (const site of calls) this.startCall(site);
    else this.startCall(calls[0]!);
  }

  /** Cancels the running calls where the policy's data path cancels. */
  cancel(): void {
    this.stopped = true;
    for (const call of this.running) call.cancel();
    this.running.clear();
  }

  private startCall(site: CallSite): void {
    // The back end reaches its node after the local delay.
    this.world.queue.schedule(this.world.deployment.localDelayMs, () => {
      if (!this.stopped) this.route(site);
    });
  }

  private route(site: CallSite): void {
    const { context, record, id } = this.attempt;
    const granted = this.reserve(site);
    const call: EmulatedCall = new EmulatedCall(this.world, this.parent.node, {
      site,
      record,
      attempts: granted,
      deadline: context.deadline,
      onEnd: (end) => {
        const now = this.world.queue.now();
        this.ledger.giveBack(id, granted - end.attemptsUsed);
        const threshold = this.parent.node.threshold(site.service, site.kind.name, now);
        this.parent.noteDownstream(site.service, threshold, this.attempt.site.kind.name);
        this.world.queue.schedule(this.world.deployment.localDelayMs, () => {
          this.onCallEnd(call, site, end);
        });
      },
    });
    this.running.add(call);
    call.start();
  }

  private reserve(site: CallSite): number {
    if (!this.world.profile.sharesAttempts) return site.size;
    const others = this.world
      .callsOf(this.attempt.site.service)
      .filter((name) => name !== site.service);
    const needOfOthers = others.reduce((sum, name) => sum + this.world.needOf(name), 0);
    const wanted = wantedAttempts(
      this.ledger.remaining(this.attempt.id),
      site.kind.attempts,
      this.world.needOf(site.service),
      needOfOthers,
    );
    return this.ledger.reserve(this.attempt.id, wanted);
  }

  private onCallEnd(call: EmulatedCall, site: CallSite, end: CallEnd): void {
    this.running.delete(call);
    if (this.stopped) return;
    this.left -= 1;
    if (end.result !== 'complete') {
      this.lastFailureCode = end.code;
      this.cancel();
      this.done?.(false);
    } else if (this.left === 0) {
      this.done?.(true);
    } else if (!this.attempt.site.parallel) {
      const { calls } = this.attempt.site;
      this.startCall(calls[calls.indexOf(site) + 1]!);
    }
  }
}

/**
 * The targets that this node fronts. Each has one task, created when needed and retired after the
 * target is placed elsewhere.
 */
import type { AttemptResult, TargetAttempt } from '../core/attempt.js';
import { AttemptLedger } from '../core/attempt-ledger.js';
import type { ByteBudget } from '../core/byte-budget.js';
import { createFailure } from '../core/failure.js';
import type { OverloadPolicy } from '../core/overload.js';
import { ResultCode } from '../core/result-code.js';
import type { ConfigStore, LocatedTarget } from '../config/config-store.js';
import type { Settings } from '../config/settings.js';
import { splitAddress } from '../core/host-and-port.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import type { EventLog } from '../kernel/event.js';
import type { EventLoopDelay } from '../kernel/event-loop-delay.js';
import type { Metrics } from '../kernel/metrics.js';
import { notDispatched, refusedByFullMailbox } from './undispatched-attempt.js';
import type { BackendClientFactory } from './backend-client.js';
import type { HealthState } from './leaving-signs.js';
import type { ParentAttempt, TargetDispatcher } from './target-dispatcher.js';
import { TargetTask } from './target-task.js';

/** Time for which a target placed elsewhere keeps its task, for nodes with an older view. */
const RETIRE_AFTER_MS = 5_000;

export interface LocalTargetDispatcherOptions {
  readonly settings: Settings;
  readonly config: ConfigStore;
  readonly policy: OverloadPolicy;
  readonly buffers: ByteBudget;
  readonly createClient: BackendClientFactory;
  readonly clock: Clock;
  readonly loopDelay: EventLoopDelay;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Called after each change with the targets that this node's target side has seen leaving. */
  readonly onLeavingChanged: (leaving: readonly string[]) => void;
}

/** A task with the part of the rules from which it was created. */
interface FrontedTarget {
  readonly task: TargetTask;
  readonly taskKey: string;
  readonly address: string;
}

export class LocalTargetDispatcher implements TargetDispatcher {
  private readonly fronted = new Map<string, FrontedTarget>();
  /** Tasks that finish their running attempts. */
  private readonly retiring = new Set<TargetTask>();
  private readonly ledger = new AttemptLedger();
  private readonly running = new Map<string, TargetAttempt>();
  private placed: ReadonlySet<string> = new Set();
  private reportedLeaving: ReadonlySet<string> = new Set();
  private cancelRetirement: CancelTimer = () => {};
  private created = 0;

  constructor(private readonly options: LocalTargetDispatcherOptions) {}

  get inProgress(): number {
    return this.running.size;
  }

  /** Fronted targets with their addresses, for health polls. */
  list(): readonly { readonly target: string; readonly address: string }[] {
    return [...this.fronted].map(([target, { address }]) => ({ target, address }));
  }

  dispatch(attempt: TargetAttempt, signal: AbortSignal): Promise<AttemptResult> {
    const located = this.options.config.findTarget(attempt.target);
    if (located === undefined) return Promise.resolve(unknownTarget(attempt.target));
    const { task } = this.ensure(attempt.target, located);
    const kind = located.service.kinds.find(({ name }) => name === attempt.context.kind);
    this.running.set(attempt.attemptId, attempt);
    return new Promise((done) => {
      const resolve = (result: AttemptResult): void => {
        this.running.delete(attempt.attemptId);
        done(result);
      };
      const maxAnswerBytes = kind?.maxAnswerBytes ?? 0;
      if (task.post({ type: 'offer', attempt, maxAnswerBytes, signal, resolve })) return;
      resolve(refusedByFullMailbox(attempt.target));
    });
  }

  reserveAttempts(parentAttemptId: string, wanted: number): number {
    return this.ledger.reserve(parentAttemptId, wanted);
  }

  returnAttempts(parentAttemptId: string, unused: number): void {
    this.ledger.release(parentAttemptId, unused);
  }

  findParent(parentAttemptId: string): ParentAttempt | undefined {
    const attempt = this.running.get(parentAttemptId);
    if (attempt === undefined) return undefined;
    return { attempt, attemptsLeft: this.ledger.remaining(parentAttemptId) };
  }

  noteDownstream(parentAttemptId: string, service: string, threshold: number): void {
    const attempt = this.running.get(parentAttemptId);
    if (attempt === undefined) return;
    const { kind } = attempt.context;
    this.fronted.get(attempt.target)?.task.post({ type: 'downstream', service, threshold, kind });
  }

  /**
   * Creates tasks for targets that are placed here. The others are retired after a while: until
   * then, nodes with an older view still send attempts, which must share the gate.
   */
  setPlaced(targets: readonly string[]): void {
    this.placed = new Set(targets);
    for (const target of targets) {
      const located = this.options.config.findTarget(target);
      if (located !== undefined) this.ensure(target, located);
    }
    const unplaced = [...this.fronted.keys()].some((target) => !this.placed.has(target));
    if (unplaced) this.scheduleRetirement();
    this.publishLeaving();
  }

  /** Passes the result of a health poll to the target's task. */
  noteHealth(target: string, state: HealthState): void {
    this.fronted.get(target)?.task.post({ type: 'health', state });
  }

  /** Starts or ends an operator's drain of a target; false when it is not fronted here. */
  drainTarget(target: string, drained: boolean): boolean {
    return this.fronted.get(target)?.task.post({ type: 'operator-drain', drained }) ?? false;
  }

  /** Records the targets that any member reports as leaving. */
  noteReportedLeaving(targets: readonly string[]): void {
    this.reportedLeaving = new Set(targets);
    for (const [target, { task }] of this.fronted) this.postReportedLeaving(target, task);
  }

  /** Targets that this node's target side itself has seen leaving. */
  leavingTargets(): readonly string[] {
    const seen = [...this.fronted].filter(([, { task }]) => task.seenLeavingHere);
    return seen.map(([target]) => target);
  }

  /** Retires all tasks. */
  close(): void {
    this.cancelRetirement();
    for (const [target, { task }] of this.fronted) this.retire(target, task);
  }

  private ensure(target: string, located: LocatedTarget): FrontedTarget {
    const taskKey = taskKeyOf(located);
    const existing = this.fronted.get(target);
    if (existing?.taskKey === taskKey) return existing;
    const { address } = located.target;
    const made = { task: this.createTask(target, located), taskKey, address };
    this.fronted.set(target, made);
    if (existing !== undefined) this.retireTask(existing.task);
    this.postReportedLeaving(target, made.task);
    return made;
  }

  private createTask(target: string, located: LocatedTarget): TargetTask {
    const { settings, policy, createClient, clock, loopDelay, log, metrics, buffers } =
      this.options;
    const { slots, connections } = located.service;
    this.created += 1;
    const task: TargetTask = new TargetTask({
      target,
      nodeId: settings.node.id,
      mailboxCapacity: settings.limits.maxMailboxLength,
      gate: policy.createTargetGate({
        initialLimit: slots,
        maxLimit: connections,
        seed: this.created,
      }),
      client: createClient({
        ...splitAddress(located.target.address),
        maxConnections: connections,
      }),
      ledger: this.ledger,
      buffers,
      clock,
      loopDelay,
      log,
      metrics,
      onLeavingChanged: () => {
        this.publishLeaving();
      },
      onRetired: () => {
        this.retiring.delete(task);
        this.removeGauges(target);
      },
    });
    return task;
  }

  private scheduleRetirement(): void {
    this.cancelRetirement();
    this.cancelRetirement = this.options.clock.schedule(RETIRE_AFTER_MS, () => {
      for (const [target, { task }] of this.fronted) {
        if (!this.placed.has(target)) this.retire(target, task);
      }
      this.publishLeaving();
    });
  }

  private retire(target: string, task: TargetTask): void {
    this.fronted.delete(target);
    this.retireTask(task);
  }

  private retireTask(task: TargetTask): void {
    this.retiring.add(task);
    task.post({ type: 'retire' });
  }

  /** Removes the gauges of a target that no longer has a task here. */
  private removeGauges(target: string): void {
    if (this.fronted.has(target)) return;
    const { inFlight, queued, limit } = this.options.metrics;
    for (const gauge of [inFlight, queued, limit]) gauge.remove({ target });
  }

  private postReportedLeaving(target: string, task: TargetTask): void {
    const leaving = this.reportedLeaving.has(target);
    task.post({ type: 'reported-leaving', leaving });
  }

  private publishLeaving(): void {
    this.options.onLeavingChanged(this.leavingTargets());
  }
}

/** Key of the parts of the rules whose change requires a new task. */
function taskKeyOf({ service, target }: LocatedTarget): string {
  return `${target.address} ${service.slots} ${service.connections}`;
}

function unknownTarget(target: string): AttemptResult {
  const detail = `target ${target} is not in the rules in force here`;
  const options = { execution: 'not-run', retryAfterMs: 100 } as const;
  const failure = createFailure(ResultCode.NoTargetAvailable, detail, options);
  return notDispatched('unreachable', failure);
}

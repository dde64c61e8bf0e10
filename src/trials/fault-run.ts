/** Runs a schedule of faults on a deployment under load and checks the guarantees. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Deployment } from './deployment.js';
import { createFaultSchedule, type ScheduledFault } from './fault-schedule.js';
import type { GuaranteeReport } from './guarantees.js';

export interface FaultRunOptions {
  readonly seed: number;
  readonly faults: number;
  /** Faults begin within this time after the start of the load. */
  readonly durationMs: number;
  readonly rateFactor: number;
}

export interface FaultRunResult {
  readonly seed: number;
  readonly report: GuaranteeReport;
  /** Complete requests of the load without faults that follows the last fault. */
  readonly calmComplete: number;
  readonly calmSent: number;
  /** Kinds with incomplete requests in the calm load, with their result codes. */
  readonly calmCodes: readonly string[];
  /** One line for each fault, in the order in which they began. */
  readonly log: readonly string[];
}

const CALM_LOAD_MS = 3_000;
/** Time for nodes and back ends to reconnect before the calm load. */
const SETTLE_MS = 3_000;
/** The load lasts this much longer than the time in which faults begin. */
const LOAD_AFTER_LAST_FAULT_MS = 2_000;

/** Runs the schedule of a seed. Leaves the deployment running. */
export async function runFaults(
  deployment: Deployment,
  options: FaultRunOptions,
): Promise<FaultRunResult> {
  const { seed, faults, durationMs, rateFactor } = options;
  const schedule = createFaultSchedule(seed, faults, durationMs);
  const callers = await deployment.startCallers({
    durationMs: durationMs + LOAD_AFTER_LAST_FAULT_MS,
    rateFactor,
    seed,
    tries: 5,
    retryDelayMs: 20,
    tryPatience: 0.3,
  });
  const runner = new FaultRunner(deployment);
  await Promise.all(schedule.map((fault) => runner.run(fault)));
  const result = await callers.result;
  await deployment.waitInForce();
  await delay(SETTLE_MS);
  const calm = await deployment.startCallers({
    durationMs: CALM_LOAD_MS,
    rateFactor,
    seed: seed + 1,
  });
  const calmResult = await calm.result;
  const sum = (member: 'sent' | 'complete'): number =>
    calmResult.kinds.reduce((total, kind) => total + kind[member], 0);
  return {
    seed,
    report: await deployment.check([result, calmResult]),
    calmComplete: sum('complete'),
    calmSent: sum('sent'),
    calmCodes: calmResult.kinds
      .filter(({ sent, complete }) => complete < sent)
      .map(({ kind, codes }) => `${kind} ${JSON.stringify(codes)}`),
    log: runner.log,
  };
}

/** Begins and ends faults; skips a fault when its node, back end or platform already has one. */
class FaultRunner {
  readonly log: string[] = [];
  private readonly faulty = new Set<string>();

  constructor(private readonly deployment: Deployment) {}

  async run(fault: ScheduledFault): Promise<void> {
    await delay(fault.atMs);
    const id = this.resolvePlace(fault);
    const line = `${fault.atMs} ms: ${id}: ${fault.kind.name} for ${fault.lastsMs} ms`;
    if (this.faulty.has(id)) {
      this.log.push(`${line} (skipped: has a fault already)`);
      return;
    }
    this.faulty.add(id);
    this.log.push(line);
    const end = await this.begin(fault, id);
    await delay(fault.lastsMs);
    await end();
    this.faulty.delete(id);
  }

  private resolvePlace({ kind, index }: ScheduledFault): string {
    const { nodes, targets } = this.deployment;
    switch (kind.place) {
      case 'node':
        return nodes[index % nodes.length]!.id;
      case 'target':
        return targets[index % targets.length]!.plan.id;
      default:
        return 'platform';
    }
  }

  /** Begins a fault and returns a function that ends it. */
  private async begin({ kind }: ScheduledFault, id: string): Promise<() => Promise<void>> {
    const { deployment } = this;
    const { action } = kind;
    const respawn = (): Promise<void> => {
      deployment.respawnNode(id);
      return Promise.resolve();
    };
    switch (action.type) {
      case 'kill-node':
        await deployment.findNode(id).process.stop('SIGKILL');
        return respawn;
      case 'stop-node':
        await deployment.stopNode(id);
        return respawn;
      case 'pause-node':
        deployment.findNode(id).process.signal('SIGSTOP');
        return () => {
          deployment.findNode(id).process.signal('SIGCONT');
          return Promise.resolve();
        };
      case 'target-fault':
        await deployment.controlTarget(id, action.on);
        return () => deployment.controlTarget(id, action.off);
      default:
        await deployment.controlPlatform(action.on);
        return () => deployment.controlPlatform(action.off);
    }
  }
}

/**
 * A whole deployment as separate processes on loopback: platform, back ends, nodes, callers.
 * `stop` stops every process that was started, also after a failure.
 */
import { readFileSync, rmSync } from 'node:fs';
import type { BackendControl } from '../stand-ins/backend/backend-faults.js';
import type { BackendJournal } from '../stand-ins/backend/effects-journal.js';
import type { CallersResult } from '../stand-ins/callers/start-callers.js';
import { AdminClient } from './admin-client.js';
import {
  planDeployment,
  type DeploymentPlan,
  type PlannedNode,
  type PlannedTarget,
  type PlanOptions,
} from './deployment-plan.js';
import { checkGuarantees, type GuaranteeReport } from './guarantees.js';
import { FatalError, poll, requestJson } from './http-json.js';
import { ManagedProcess, type ProcessEnd } from './managed-process.js';

/** Most characters printed of each process's log after a failure; a node restart logs about 4,000. */
const MAX_LOG_CHARACTERS = 100_000;
const START_TIMEOUT_MS = 20_000;
/** A node whose planned stop takes longer is killed. */
const STOP_TIMEOUT_MS = 20_000;
/** Callers that are still running this long after the end of their load are killed. */
const CALLERS_EXIT_TIMEOUT_MS = 30_000;

export interface RunningNode {
  readonly plan: PlannedNode;
  readonly id: string;
  /** Base URL of the node's entry. */
  readonly entry: string;
  readonly admin: AdminClient;
  process: ManagedProcess;
}

export interface RunningTarget {
  readonly plan: PlannedTarget;
  process: ManagedProcess;
}

/** Load of one run of callers. */
export interface CallersRunOptions {
  readonly durationMs: number;
  readonly rateFactor?: number;
  readonly seed?: number;
  readonly kinds?: readonly string[];
  readonly entries?: readonly string[];
  /** Attempts per request at most. Callers retry unless the answer is complete or wrong. */
  readonly tries?: number;
  readonly retryDelayMs?: number;
  readonly tryPatience?: number;
}

/** A running process of callers. */
export interface CallersRun {
  readonly process: ManagedProcess;
  setRateFactor(factor: number): Promise<void>;
  /** Stops sending before `durationMs` has passed. */
  stop(): Promise<void>;
  /** Result of the run; rejects when the process exits with an error. */
  readonly result: Promise<CallersResult>;
}

export class Deployment {
  readonly nodes: RunningNode[] = [];
  readonly targets: RunningTarget[] = [];
  private platform: ManagedProcess | undefined;
  private readonly started: ManagedProcess[] = [];
  /** Journals of killed back ends, read right before the kill. */
  private readonly keptJournals: BackendJournal[] = [];

  private constructor(readonly plan: DeploymentPlan) {}

  /** Starts every process and applies the example's rules at every node. */
  static async start(options: PlanOptions): Promise<Deployment> {
    const deployment = await Deployment.startWithoutRules(options);
    try {
      await deployment.applyRules();
      return deployment;
    } catch (error) {
      await deployment.stop();
      throw error;
    }
  }

  /** Starts every process; the store contains no rules yet. */
  static async startWithoutRules(options: PlanOptions): Promise<Deployment> {
    const deployment = new Deployment(await planDeployment(options));
    try {
      await deployment.startAll();
      return deployment;
    } catch (error) {
      await deployment.stop();
      throw error;
    }
  }

  /** Base URLs of the entries of the running nodes. */
  get entries(): string[] {
    return this.nodes.filter((node) => node.process.running).map((node) => node.entry);
  }

  /** Applies the plan's rules through the admin API of the first node. */
  async applyRules(): Promise<void> {
    const { tenant } = this.plan.rules;
    const document = readFileSync(this.plan.rulesFile, 'utf8');
    await this.nodes[0]!.admin.applyRules(tenant, document, 0, `start-${tenant}`);
    await this.waitInForce();
  }

  /** Waits until every running node is ready and knows the rules to be in force at all of them. */
  async waitInForce(): Promise<void> {
    const running = this.nodes.filter((node) => node.process.running);
    await poll('rules in force at every node', START_TIMEOUT_MS, async () => {
      const ready = await Promise.all(running.map((node) => node.admin.isReady()));
      const lists = await Promise.all(
        running.map((node) => node.admin.nodesInForce(this.plan.rules.tenant)),
      );
      const known = lists.every((list) => running.every(({ id }) => list.includes(id)));
      return known && ready.every(Boolean);
    });
  }

  findNode(id: string): RunningNode {
    return expectFound(
      this.nodes.find((node) => node.id === id),
      id,
    );
  }

  findTarget(id: string): RunningTarget {
    return expectFound(
      this.targets.find(({ plan }) => plan.id === id),
      id,
    );
  }

  /** Starts callers. The result includes their journal. */
  async startCallers(options: CallersRunOptions): Promise<CallersRun> {
    const flag = (name: string, value: string | number | undefined): string[] =>
      value === undefined ? [] : [`--${name}`, `${value}`];
    const process = this.spawn('callers', [
      'emulate',
      'callers',
      '--journal',
      ...flag('workload', this.plan.workloadFile),
      ...flag('control', '127.0.0.1:0'),
      ...flag('duration-ms', options.durationMs),
      ...flag('rate-factor', options.rateFactor),
      ...flag('seed', options.seed),
      ...flag('tries', options.tries),
      ...flag('retry-delay-ms', options.retryDelayMs),
      ...flag('try-patience', options.tryPatience),
      ...(options.kinds ?? []).flatMap((kind) => ['--kind', kind]),
      ...(options.entries ?? this.entries).flatMap((entry) => ['--entry', entry]),
    ]);
    const ready = JSON.parse(await process.firstLine(START_TIMEOUT_MS)) as { address: string };
    return {
      process,
      setRateFactor: async (rateFactor) => {
        await requestJson(`http://${ready.address}/control`, { rateFactor });
      },
      stop: async () => {
        await requestJson(`http://${ready.address}/control`, { stop: true });
      },
      result: readCallersResult(process, options.durationMs),
    };
  }

  /** Switches faults of a back end on or off. */
  async controlTarget(id: string, change: BackendControl): Promise<void> {
    const { plan } = this.findTarget(id);
    await requestJson(`http://${plan.address}/control`, change);
  }

  /** Switches faults of the platform on or off. */
  async controlPlatform(change: unknown): Promise<void> {
    await requestJson(`http://127.0.0.1:${this.plan.platformControlPort}/control`, change);
  }

  /** Journals of the running back ends, and those that were read before a back end was killed. */
  async readJournals(): Promise<BackendJournal[]> {
    const running = this.targets.filter(({ process }) => process.running);
    const journals = await Promise.all(running.map((target) => this.readJournal(target)));
    return [...journals, ...this.keptJournals];
  }

  /** Whether effects may be missing in the journals, because a back end was killed. */
  get journalsIncomplete(): boolean {
    return this.keptJournals.length > 0 || this.targets.some(({ process }) => !process.running);
  }

  /** Kills a back end and starts it again. Entries after the last read of its journal are lost. */
  async replaceTarget(id: string): Promise<void> {
    const target = this.findTarget(id);
    this.keptJournals.push(await this.readJournal(target));
    await target.process.stop('SIGKILL');
    target.process = this.spawnTarget(target.plan);
    await target.process.firstLine(START_TIMEOUT_MS);
  }

  /** Checks the callers' records against the back ends' journals. */
  async check(results: readonly CallersResult[]): Promise<GuaranteeReport> {
    const records = results.flatMap((result) => result.records);
    const journals = await this.readJournals();
    const { journalsIncomplete } = this;
    return checkGuarantees({ rules: this.plan.rules, records, journals, journalsIncomplete });
  }

  /** Starts a stopped node again as a new process with the same settings, without waiting. */
  respawnNode(id: string): RunningNode {
    const node = this.findNode(id);
    node.process = this.spawnNode(node.plan);
    return node;
  }

  /** Starts a stopped node again and waits until it is ready. */
  async restartNode(id: string): Promise<void> {
    const node = this.respawnNode(id);
    await poll(`${id} ready`, START_TIMEOUT_MS, () => node.admin.isReady());
  }

  /** Stops a node as planned. */
  async stopNode(id: string): Promise<ProcessEnd> {
    return await this.findNode(id).process.stop('SIGTERM', STOP_TIMEOUT_MS);
  }

  /** Standard error of all processes, to be printed after a failed run. */
  logs(): string {
    return this.started
      .filter(({ stderr }) => stderr !== '')
      .map(({ name, stderr }) => `--- ${name}\n${stderr.slice(-MAX_LOG_CHARACTERS)}`)
      .join('\n');
  }

  /**
   * Stops every process, nodes first.
   *
   * @param signal SIGTERM makes the nodes stop as planned, which takes a few seconds
   */
  async stop(signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    const isNode = (process: ManagedProcess): boolean =>
      this.nodes.some((node) => node.process === process);
    const nodes = this.started.filter(isNode);
    await Promise.all(nodes.map((process) => process.stop(signal, STOP_TIMEOUT_MS)));
    await Promise.all(this.started.map((process) => process.stop(signal)));
    this.plan.releasePorts();
    rmSync(this.plan.directory, { recursive: true, force: true });
  }

  private async startAll(): Promise<void> {
    const { plan } = this;
    this.platform = this.spawn('platform', [
      'emulate',
      'platform',
      '--listen',
      `127.0.0.1:${plan.platformPort}`,
      '--control',
      `127.0.0.1:${plan.platformControlPort}`,
    ]);
    await poll('platform', START_TIMEOUT_MS, async () => {
      this.expectRunning(this.platform!);
      await this.controlPlatform({ machines: plan.machines });
      return true;
    });
    for (const node of plan.nodes) {
      this.nodes.push({
        plan: node,
        id: node.settings.node.id,
        entry: `http://${node.settings.listen.entry}`,
        admin: new AdminClient(node.settings),
        process: this.spawnNode(node),
      });
    }
    for (const target of plan.targets) {
      this.targets.push({ plan: target, process: this.spawnTarget(target) });
    }
    await Promise.all(this.targets.map(({ process }) => process.firstLine(START_TIMEOUT_MS)));
    await poll('nodes see each other', START_TIMEOUT_MS, async () => {
      for (const node of this.nodes) this.expectRunning(node.process);
      const lists = await Promise.all(this.nodes.map((node) => node.admin.listMembers()));
      return lists.every((list) => this.nodes.every(({ id }) => list.includes(id)));
    });
  }

  private async readJournal({ plan }: RunningTarget): Promise<BackendJournal> {
    return await requestJson<BackendJournal>(`http://${plan.address}/control/journal`);
  }

  private spawnNode({ settings, settingsFile }: PlannedNode): ManagedProcess {
    const args = ['node', '--settings', settingsFile];
    return this.spawn(settings.node.id, args, this.plan.nodeRuntimeFlags);
  }

  private spawnTarget(target: PlannedTarget): ManagedProcess {
    const index = this.plan.targets.indexOf(target);
    const zoneOrder = (node: RunningNode): number =>
      node.plan.settings.node.zone === target.zone ? 0 : 1;
    const nodes = [...this.nodes].sort((a, b) => zoneOrder(a) - zoneOrder(b));
    return this.spawn(target.id, [
      ...['emulate', 'backend', '--listen', target.address],
      ...['--service', target.service, '--target', target.id],
      ...['--slots', `${target.slots}`, '--connections', `${target.connections}`],
      ...['--workload', this.plan.workloadFile, '--seed', `${index + 1}`],
      ...nodes.flatMap((node) => ['--node', node.entry]),
    ]);
  }

  private spawn(
    name: string,
    args: readonly string[],
    runtimeFlags: readonly string[] = [],
  ): ManagedProcess {
    const process = new ManagedProcess(name, args, undefined, runtimeFlags);
    this.started.push(process);
    return process;
  }

  private expectRunning(process: ManagedProcess): void {
    if (process.running) return;
    throw new FatalError(`${process.name} exited: ${process.stderr.slice(-4_000)}`);
  }
}

async function readCallersResult(
  process: ManagedProcess,
  durationMs: number,
): Promise<CallersResult> {
  const timer = setTimeout(() => {
    process.signal('SIGKILL');
  }, durationMs + CALLERS_EXIT_TIMEOUT_MS);
  const exit = await process.ended;
  clearTimeout(timer);
  const line = process.stdout.trimEnd().split('\n').at(-1) ?? '';
  if (exit.code !== 0) throw new Error(`callers exited with code ${exit.code}: ${process.stderr}`);
  return JSON.parse(line) as CallersResult;
}

function expectFound<T>(found: T | undefined, id: string): T {
  if (found === undefined) throw new Error(`the deployment has no ${id}`);
  return found;
}

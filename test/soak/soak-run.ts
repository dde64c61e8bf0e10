/**
 * One soak run: runs the nodes as separate processes, injects faults from outside, and checks the
 * guarantees against what callers, targets and operators observed.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Event } from '../../src/kernel/event.js';
import { sendRequest } from '../stand-ins/mesh.js';
import { ProcessMesh, type ProcessMachine } from '../support/process-mesh.js';
import { checkLedger, type Bounds, type Violation } from './checks.js';
import { createLedger, type Ledger, type ObservedRun } from './ledger.js';
import { createSchedule, type Action, type ScheduleExtras } from './schedule.js';
import { SoakCaller } from './soak-callers.js';
import { SoakFaults } from './soak-faults.js';
import { SpoiledAnswers } from './spoiled-answers.js';
import { LIMITED_KEY, QUOTA_SETTINGS, TENANTS, UNLIMITED_KEY } from './soak-tenants.js';

/** Options of a run. */
export interface SoakOptions extends ScheduleExtras {
  readonly seed: number;
  /** Number of machines; three services are assigned to them in turn. */
  readonly machines: number;
  readonly callersPerMachine: number;
  /** Time in which actions begin, in milliseconds. */
  readonly lengthMs: number;
}

/** Result of a run. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly actions: readonly Action[];
  readonly requests: number;
  readonly answered: number;
  readonly served: number;
  readonly runs: number;
  /** Logs of the nodes, by machine. */
  readonly logs: ReadonlyMap<string, string>;
}

/** The bounds in the nodes' settings and the documentation. */
export const SOAK_BOUNDS: Bounds = {
  settlingMs: 3_000,
  gracePeriodMs: 6_000,
  lossSlackMs: 200,
  applyMs: 2_000,
  drainMs: 500,
};

const SERVICES = ['guide', 'ledger', 'archive'] as const;
const SLOTS = 12;
/** Time after the last fault within which every node has to serve again. */
const RECOVERY_MS = 15_000;
const RECOVERY_CHECK_MS = 100;
const STALL_CHECK_MS = 20;
/** Shorter stalls are not recorded, in milliseconds. */
const MIN_STALL_MS = 100;
const WORK_MS_IN_PATH = /\/(\d+)$/;

/** Runs one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const run = new SoakRun(options);
  try {
    return await run.execute();
  } finally {
    await run.end();
  }
}

class SoakRun {
  private readonly mesh: ProcessMesh;
  private readonly ledger: Ledger = createLedger();
  private readonly spoiled: SpoiledAnswers;
  private readonly faults: SoakFaults;
  private probes = 0;
  private stallTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: SoakOptions) {
    const limits = options.limits === true;
    this.mesh = new ProcessMesh({
      relayed: true,
      gracePeriodMs: SOAK_BOUNDS.gracePeriodMs,
      // The heap that the nodes have on the machines.
      ...(options.crowds === true ? { runtimeFlags: ['--max-old-space-size=120'] } : {}),
      ...(limits ? { bounds: QUOTA_SETTINGS, apiKey: UNLIMITED_KEY } : {}),
    });
    this.spoiled = new SpoiledAnswers(options.seed);
    const tenants = limits ? TENANTS : undefined;
    this.faults = new SoakFaults(this.mesh, this.ledger, SOAK_BOUNDS, this.spoiled, tenants);
  }

  async execute(): Promise<SoakResult> {
    const { seed, machines, lengthMs, callersPerMachine } = this.options;
    if (this.options.drills === true) this.mesh.store.era = 1;
    await this.mesh.start();
    this.faults.changeRules();
    for (let index = 0; index < machines; index += 1) await this.addMachine(index);
    await this.mesh.waitUntilServing(['/read/1', '/write/1', '/moved/1', '/chain/1']);
    this.recordStalls();
    const callers = this.mesh.machines.flatMap((machine) =>
      Array.from({ length: callersPerMachine }, (_, index) => {
        const relayed = index % 2 === 0;
        return new SoakCaller({
          ...{ name: `${machine.id}-${index}`, seed, machine, ledger: this.ledger, relayed },
          apiKey: this.apiKeyOf(index),
        });
      }),
    );
    const running = callers.map((caller) => caller.run());
    const actions = createSchedule(seed, machines, lengthMs, this.options);
    await this.faults.perform(actions);
    await this.recover();
    for (const caller of callers) caller.stop();
    await Promise.all(running);
    return this.summarize(actions);
  }

  async end(): Promise<void> {
    clearInterval(this.stallTimer);
    await this.mesh.stop();
  }

  /** A quarter of the callers, one at each machine, belong to the tenant with a limit. */
  private apiKeyOf(caller: number): string | undefined {
    if (this.options.limits !== true) return undefined;
    return caller === 0 ? LIMITED_KEY : UNLIMITED_KEY;
  }

  /** Records when this process, which runs the callers, relays and targets, stood still. */
  private recordStalls(): void {
    let lastAt = performance.now();
    this.stallTimer = setInterval(() => {
      const now = performance.now();
      if (now - lastAt > MIN_STALL_MS) this.ledger.driverStalls.push({ from: lastAt, to: now });
      lastAt = now;
    }, STALL_CHECK_MS);
  }

  private async addMachine(index: number): Promise<void> {
    const service = SERVICES[index % SERVICES.length]!;
    const machine = await this.mesh.add({
      ...{ service, zone: `z${index % 2}`, slots: SLOTS, workMs: 0 },
      workOf: ({ path }) => Number(WORK_MS_IN_PATH.exec(path)?.[1] ?? 0),
    });
    this.watchTarget(machine, service);
    this.faults.watchProcess(machine);
  }

  /** Records each run, and makes those of the chain route call another service first. */
  private watchTarget(machine: ProcessMachine, service: string): void {
    const { target } = machine;
    target.keepReceived = false;
    target.behaviour = ({ attemptId, path, headers }, response) => {
      const expected = headers['x-expected-instance'];
      if (expected !== undefined && expected !== target.id) return false;
      if (this.spoiled.refuse(machine.id, attemptId, response)) return true;
      const deadlineField = headers['x-deadline-ms'];
      const run: ObservedRun = {
        ...{ attemptId, path, service, machine: machine.id, targetId: target.id },
        startedAt: performance.now(),
        timeLeftMs: deadlineField === undefined ? undefined : Number(deadlineField),
        tenant: String(headers['x-tenant'] ?? ''),
        endedAt: undefined,
        aborted: false,
      };
      this.ledger.runs.push(run);
      response.on('close', () => {
        run.endedAt = performance.now();
        run.aborted = !response.writableFinished;
        run.statedLimit = response.hasHeader('Server-Limit');
        run.statedLeaving = response.hasHeader('Server-Leaving');
      });
      if (this.spoiled.spoil(machine.id, attemptId, response)) return true;
      if (this.spoiled.flood(machine.id, attemptId, response)) return true;
      if (!path.startsWith('/chain/')) return false;
      const answer = (status: number): void => {
        const fields = { 'X-Attempt-Id': attemptId, 'X-Server-Stamp': `stamp ${target.id}` };
        response.writeHead(status, fields).end(`answer to ${attemptId}`);
      };
      const call = {
        path: '/read/20',
        attemptId: `${attemptId}.1`,
        deadlineMs: Number(deadlineField),
      };
      sendRequest(machine.entry, call).then(
        ({ status }) => answer(status === 200 ? 200 : 500),
        () => answer(500),
      );
      return true;
    };
  }

  /** Waits until every node serves every route again after the last fault, and records those that do not. */
  private async recover(): Promise<void> {
    const end = performance.now() + RECOVERY_MS;
    for (const machine of this.mesh.machines) {
      for (const path of ['/read/1', '/write/1', '/moved/1', '/chain/1']) {
        let served = false;
        while (!served && performance.now() < end) {
          served = await this.isServed(machine, path);
          if (!served) await sleep(RECOVERY_CHECK_MS);
        }
        if (!served) this.ledger.notRecovered.push(`${machine.id} ${path}`);
      }
    }
  }

  private async isServed(machine: ProcessMachine, path: string): Promise<boolean> {
    this.probes += 1;
    try {
      const attemptId = `probe-${this.probes}`;
      const key = this.options.limits === true ? { apiKey: UNLIMITED_KEY } : {};
      return (await sendRequest(machine.entry, { path, attemptId, ...key })).status === 200;
    } catch {
      return false;
    }
  }

  private summarize(actions: readonly Action[]): SoakResult {
    this.faults.stopRecording();
    const { requests, runs, internalErrors } = this.ledger;
    for (const machine of this.mesh.machines) {
      for (const line of machine.events(Event.InternalError)) {
        internalErrors.push(`${machine.id}: ${JSON.stringify(line)}`);
      }
    }
    const answered = requests.filter(({ outcome }) => outcome.type === 'answered');
    return {
      violations: checkLedger(this.ledger, SOAK_BOUNDS),
      actions,
      requests: requests.length,
      answered: answered.length,
      served: answered.filter(
        ({ outcome }) => outcome.type === 'answered' && outcome.status === 200,
      ).length,
      runs: runs.length,
      logs: new Map(this.mesh.machines.map((machine) => [machine.id, machine.log])),
    };
  }
}

/** The fleet benchmark: hollow processes at several sizes, measured at rest, in change and in loss. */
import { setTimeout as sleep } from 'node:timers/promises';
import { PlatformRulesRepository } from '../config/platform-rules-repository.js';
import { systemClock } from '../kernel/clock.js';
import { silentEventLog } from '../kernel/event.js';
import { EtcdPlatformClient } from '../etcd/etcd-platform-client.js';
import {
  startPlatformStandIn,
  type PlatformStandIn,
} from '../stand-ins/platform/platform-stand-in.js';
import { formatTable } from '../cli/table.js';
import { createBenchmarkRules } from './benchmark-rules.js';
import type { HollowReport } from './hollow-nodes.js';
import { HollowProcess } from './hollow-process-client.js';

const ZONES = 7;
const REGIONS = 2;
/** Longest wait for any one condition, in milliseconds. */
const PATIENCE_MS = 120_000;
const POLL_INTERVAL_MS = 250;
/** Share of the nodes that stops at once: a rack of one of 25. */
const RACK_SHARE = 0.04;
const MILLION = 1_000_000;
const CHANGE_PAUSE_MS = 1_000;

/** What is run. */
export interface FleetBenchmarkOptions {
  readonly sizes: readonly number[];
  readonly perProcess: number;
  /** Port of the first node. */
  readonly firstPort: number;
  /** Changes of configuration at each size. */
  readonly changes: number;
  /** Time that a join gets to spread before the fleet counts as at rest, in milliseconds. */
  readonly settleMs: number;
  /** Time over which the fleet at rest is measured, in milliseconds. */
  readonly restMs: number;
  readonly progress: (text: string) => void;
}

/** Result at one size. */
export interface FleetRun {
  readonly nodes: number;
  readonly processes: number;
  /** From the start of the last process until every node saw all others. */
  readonly joinMs: number;
  /** Processor time a node at rest, as a share of one core, in per cent. */
  readonly cpuPercent: number;
  /** Resident memory a node, in megabytes: the process's share. */
  readonly memoryMegabytes: number;
  /** Bytes a second over links, sent and received, a node at rest. */
  readonly tcpBytesPerSecond: number;
  /** The same of datagrams. */
  readonly udpBytesPerSecond: number;
  /** Requests a second that the platform got from the whole fleet at rest. */
  readonly platformRequestsPerSecond: number;
  /** From the operator's request until in force at every node, for each change. */
  readonly changeMs: readonly number[];
  /** Nodes stopped at once, and the time until no view held them. */
  readonly stopped: number;
  readonly dropMs: number;
}

/** Runs all sizes in turn. */
export async function runFleetBenchmark(options: FleetBenchmarkOptions): Promise<FleetRun[]> {
  const runs: FleetRun[] = [];
  for (const size of options.sizes) {
    options.progress(`${size} nodes`);
    const fleet = new FleetUnderTest(size, options);
    try {
      runs.push(await fleet.run());
    } finally {
      await fleet.stop();
    }
  }
  return runs;
}

/** Lays the runs out as a table. */
export function formatFleetRuns(runs: readonly FleetRun[]): string {
  const heading = [
    'nodes',
    'processes',
    'join s',
    'cpu %/node',
    'MB/node',
    'TCP KB/s/node',
    'UDP KB/s/node',
    'platform req/s',
    'change max ms',
    'rack',
    'drop s',
  ];
  const rows = runs.map((run) => [
    run.nodes,
    run.processes,
    (run.joinMs / 1_000).toFixed(1),
    run.cpuPercent.toFixed(3),
    run.memoryMegabytes.toFixed(1),
    (run.tcpBytesPerSecond / 1_000).toFixed(2),
    (run.udpBytesPerSecond / 1_000).toFixed(2),
    run.platformRequestsPerSecond.toFixed(1),
    Math.max(...run.changeMs).toFixed(0),
    run.stopped,
    (run.dropMs / 1_000).toFixed(1),
  ]);
  return formatTable(heading, rows);
}

/** The fleet of one size. */
class FleetUnderTest {
  private readonly processes: HollowProcess[] = [];
  private platform: PlatformStandIn | undefined;
  private platformUrl = '';
  private repository: PlatformRulesRepository | undefined;
  /** Nodes that have reached a version, and the time of the last one. */
  private readonly reached = new Map<number, { count: number; lastAtMs: number }>();

  constructor(
    private readonly size: number,
    private readonly options: FleetBenchmarkOptions,
  ) {}

  async run(): Promise<FleetRun> {
    this.platform = await startPlatformStandIn({ host: '127.0.0.1', port: 0, seed: 1 });
    this.platformUrl = `http://127.0.0.1:${this.platform.port}`;
    const joinMs = await this.startNodes();
    this.options.progress(`  all joined after ${Math.round(joinMs)} ms`);
    await this.applyChange(0);
    const rest = await this.measureRest();
    const changeMs = await this.measureChanges();
    this.options.progress(`  changes in force after ${changeMs.map(Math.round).join(', ')} ms`);
    const { stopped, dropMs } = await this.measureRackLoss();
    const processes = this.processes.length;
    return { nodes: this.size, processes, joinMs, ...rest, changeMs, stopped, dropMs };
  }

  async stop(): Promise<void> {
    await Promise.all(this.processes.map((process) => process.stop()));
    await this.platform?.close();
  }

  private async startNodes(): Promise<number> {
    const startedAt = performance.now();
    for (let first = 0; first < this.size; first += this.options.perProcess) {
      const count = Math.min(this.options.perProcess, this.size - first);
      this.processes.push(this.spawnProcess(first, count));
    }
    await Promise.all(this.processes.map(({ started }) => started));
    await this.waitFor('all nodes joined', (reports) =>
      reports.every(({ smallestView }) => smallestView === this.size),
    );
    return performance.now() - startedAt;
  }

  private spawnProcess(first: number, count: number): HollowProcess {
    const flags = {
      total: this.size,
      first,
      count,
      zones: ZONES,
      regions: REGIONS,
      'first-port': this.options.firstPort,
      platform: this.platformUrl,
    };
    const args = Object.entries(flags).flatMap(([name, value]) => [`--${name}`, `${value}`]);
    return new HollowProcess(args, (version, atMs) => {
      const entry = this.reached.get(version) ?? { count: 0, lastAtMs: 0 };
      entry.count += 1;
      entry.lastAtMs = Math.max(entry.lastAtMs, atMs);
      this.reached.set(version, entry);
    });
  }

  private async measureRest() {
    await sleep(this.options.settleMs);
    const before = await this.askAll();
    const requestsBefore = this.platform!.requestCount;
    await sleep(this.options.restMs);
    const after = await this.askAll();
    const requests = this.platform!.requestCount - requestsBefore;
    const seconds = (after[0]!.atMs - before[0]!.atMs) / 1_000;
    const cpuMicros = sumOf(after, 'cpuMicros') - sumOf(before, 'cpuMicros');
    const tcpBytes = sumOf(after, 'tcpBytes') - sumOf(before, 'tcpBytes');
    const udpBytes = sumOf(after, 'udpBytes') - sumOf(before, 'udpBytes');
    return {
      cpuPercent: (cpuMicros / MILLION / seconds / this.size) * 100,
      memoryMegabytes: sumOf(after, 'residentBytes') / MILLION / this.size,
      tcpBytesPerSecond: tcpBytes / seconds / this.size,
      udpBytesPerSecond: udpBytes / seconds / this.size,
      platformRequestsPerSecond: requests / seconds,
    };
  }

  private async measureChanges(): Promise<number[]> {
    const durations: number[] = [];
    for (let change = 1; change <= this.options.changes; change += 1) {
      durations.push(await this.applyChange(change));
      await sleep(CHANGE_PAUSE_MS);
    }
    return durations;
  }

  /** Makes a change and waits until it is in force at every node; returns how long that took. */
  private async applyChange(change: number): Promise<number> {
    const startedAtMs = Date.now();
    this.repository ??= this.createRepository();
    const applied = await this.repository.apply({
      tenant: 'benchmark',
      document: createBenchmarkRules(change),
      expectedRevision: change,
      operationId: `change-${change}`,
      author: 'benchmark',
    });
    if (applied.isErr) throw new Error(applied.error.detail);
    const { version } = applied.value;
    await this.waitUntil(
      `change ${change} in force everywhere`,
      () => this.countAtLeast(version) >= this.size,
    );
    return this.reached.get(version)!.lastAtMs - startedAtMs;
  }

  private countAtLeast(version: number): number {
    return this.reached.get(version)?.count ?? 0;
  }

  /** An operator's repository that no node shares: the nodes learn of changes by the platform. */
  private createRepository(): PlatformRulesRepository {
    const platform = new EtcdPlatformClient({
      endpoints: [this.platformUrl],
      machinesUrl: `${this.platformUrl}/machines`,
      timeoutMs: 2_000,
      clock: systemClock,
      log: silentEventLog,
      seed: 1,
    });
    const options = { platform, clock: systemClock, log: silentEventLog, seed: 1 };
    return new PlatformRulesRepository({ ...options, onSnapshot: () => {} });
  }

  private async measureRackLoss(): Promise<{ stopped: number; dropMs: number }> {
    const stopped = Math.max(1, Math.round(this.size * RACK_SHARE));
    const startedAt = performance.now();
    await this.processes.at(-1)!.ask({ type: 'fail', count: stopped });
    await this.waitFor('stopped nodes dropped', (reports) =>
      reports.every(({ largestView }) => largestView === this.size - stopped),
    );
    return { stopped, dropMs: performance.now() - startedAt };
  }

  private askAll(): Promise<HollowReport[]> {
    return Promise.all(this.processes.map((process) => process.ask({ type: 'report' })));
  }

  private async waitFor(
    what: string,
    condition: (reports: readonly HollowReport[]) => boolean,
  ): Promise<void> {
    const giveUpAt = performance.now() + PATIENCE_MS;
    for (;;) {
      const reports = await this.askAll();
      if (condition(reports)) return;
      if (performance.now() > giveUpAt) throw new Error(`${what}: ${JSON.stringify(reports)}`);
      await sleep(POLL_INTERVAL_MS);
    }
  }

  private async waitUntil(what: string, condition: () => boolean): Promise<void> {
    const giveUpAt = performance.now() + PATIENCE_MS;
    while (!condition()) {
      if (performance.now() > giveUpAt) throw new Error(what);
      await sleep(POLL_INTERVAL_MS);
    }
  }
}

function sumOf(
  reports: readonly HollowReport[],
  member: 'cpuMicros' | 'tcpBytes' | 'udpBytes' | 'residentBytes',
): number {
  return reports.reduce((sum, report) => sum + report[member], 0);
}

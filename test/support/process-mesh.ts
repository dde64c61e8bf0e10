/**
 * A deployment whose nodes run in separate processes, as on the machines; the store and the
 * targets are stand-ins in the calling process.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Event } from '../../src/kernel/event.js';
import { findFreePorts } from '../../src/trials/free-ports.js';
import { startLink, type Link } from '../../src/stand-ins/link/start-link.js';
import {
  ManagedProcess,
  SIDECAR_PROGRAM,
  type ProcessEnd,
} from '../../src/trials/managed-process.js';
import {
  createRulesDocument,
  type RouteOptions,
  type TenantOptions,
} from '../../platform/stand-ins/rules-document.js';
import { sendRequest, waitUntil } from '../stand-ins/mesh.js';
import { StoreStandIn } from '../../platform/stand-ins/store-stand-in.js';
import {
  TargetStandIn,
  type TargetStandInOptions,
} from '../../platform/stand-ins/target-stand-in.js';

const PORTS_PER_NODE = 5;
const HEARTBEAT_INTERVAL_MS = 500;
const OK = 200;
/** Events that show the course of a planned stop and the requests that it cut. */
const STOP_EVENTS = [
  Event.InternalError,
  Event.NodeDraining,
  Event.NodeStopped,
  Event.StopSignalRepeated,
  Event.CallersDrained,
  Event.RequestUnanswered,
  Event.AnswerCut,
  Event.RequestAfterClose,
];

/** One line of a node's log. */
export interface LogLine {
  readonly event: number;
  readonly [field: string]: unknown;
}

/** Options of a deployment; times in milliseconds. */
export interface ProcessMeshOptions {
  /** Time from SIGTERM to SIGKILL in the nodes' settings. */
  readonly gracePeriodMs?: number;
  /** Whether connections to the nodes, the targets and the store go through relays. */
  readonly relayed?: boolean;
  /** Bounds in the nodes' settings, in addition to the defaults. */
  readonly bounds?: Readonly<Record<string, unknown>>;
  /** Limits in the nodes' settings, in addition to the memory of 350 MB. */
  readonly limits?: Readonly<Record<string, unknown>>;
  /** Flags of the nodes' runtime. */
  readonly runtimeFlags?: readonly string[];
  /** Key of the requests that check whether a node serves; absent: they need none. */
  readonly apiKey?: string;
}

/** Relays around a node, which inject faults into its connections. */
export interface MachineLinks {
  /** From callers to the node. */
  readonly callers: Link;
  /** From the node to its target. */
  readonly target: Link;
  /** From the node to the store. */
  readonly store: Link;
  /** From other nodes to the node. */
  readonly peers: Link;
}

/** One machine: a target and the process of its sidecar. */
export class ProcessMachine {
  private node: ManagedProcess | undefined;
  private readonly lines: string[] = [];
  private heartbeats: NodeJS.Timeout | undefined;

  constructor(
    readonly id: string,
    readonly target: TargetStandIn,
    readonly entry: string,
    readonly readiness: string,
    readonly registration: string,
    readonly metrics: string,
    /** Address for messages between nodes. */
    readonly peerAddress: string,
    private readonly settingsFile: string,
    private readonly runtimeFlags: readonly string[],
    /** Relays around the node, if any. */
    readonly links: MachineLinks | undefined,
  ) {}

  /** Address at which callers reach the node. */
  get callerAddress(): string {
    return this.links?.callers.address ?? this.entry;
  }

  /** The process that was started last; throws if none was. */
  get process(): ManagedProcess {
    if (this.node === undefined) throw new Error(`${this.id} has no process`);
    return this.node;
  }

  get isRunning(): boolean {
    return this.node?.running ?? false;
  }

  /**
   * Starts the node's process and the heartbeats of its target.
   *
   * @param standardOutput descriptor that becomes the standard output of the process; absent: its lines are kept
   */
  start(standardOutput?: number): void {
    if (this.node !== undefined) this.lines.push(this.node.stdout, this.node.stderr);
    this.node = new ManagedProcess(
      this.id,
      ['sidecar', '--settings', this.settingsFile],
      SIDECAR_PROGRAM,
      this.runtimeFlags,
      standardOutput,
    );
    this.heartbeats ??= setInterval(() => {
      void this.target.sendHeartbeat(this.registration);
    }, HEARTBEAT_INTERVAL_MS);
  }

  /** Whether the node reports that it is ready. */
  async isReady(): Promise<boolean> {
    try {
      const answer = await sendRequest(this.readiness, { path: '/v1/readiness' });
      return answer.status === OK;
    } catch {
      return false;
    }
  }

  /** Returns the log lines with this event, from all processes of this machine. */
  events(event: number): readonly LogLine[] {
    return this.log
      .split('\n')
      .filter((line) => line.includes(`"event":${event},`))
      .map((line) => JSON.parse(line) as LogLine);
  }

  /** Returns the log lines about a request and those of planned stops ({@link STOP_EVENTS}). */
  async findRelevantLines(attemptId: string): Promise<string> {
    await this.process.ended;
    const isRelevant = (line: string): boolean =>
      line.includes(attemptId) || STOP_EVENTS.some((event) => line.includes(`"event":${event},`));
    return this.log.split('\n').filter(isRelevant).join('\n');
  }

  /** Whether the process that was started last has written anything to standard output. */
  get hasWrittenOutput(): boolean {
    return this.process.stdout !== '';
  }

  /** Output of all processes of this machine. */
  get log(): string {
    return [...this.lines, this.node?.stdout ?? '', this.node?.stderr ?? ''].join('');
  }

  /** Stops the target and the relays and kills the process. */
  async end(): Promise<ProcessEnd | undefined> {
    clearInterval(this.heartbeats);
    this.target.close();
    await Promise.all(Object.values(this.links ?? {}).map((link: Link) => link.stop()));
    if (!this.isRunning) return undefined;
    return await this.process.stop('SIGKILL');
  }
}

/** The machines and the store of one deployment. */
export class ProcessMesh {
  readonly store = new StoreStandIn();
  readonly machines: ProcessMachine[] = [];
  private readonly directory = mkdtempSync(join(tmpdir(), 'sillshore-mesh-'));
  private storeAddress = '';

  constructor(private readonly options: ProcessMeshOptions = {}) {}

  async start(): Promise<void> {
    this.storeAddress = await this.store.listen();
  }

  /** Adds a machine and starts its node. */
  async add(options: TargetStandInOptions): Promise<ProcessMachine> {
    const target = new TargetStandIn(options);
    await target.listen();
    const ports = await findFreePorts(PORTS_PER_NODE);
    const [entry, readiness, registration, link, metrics] = ports.map(
      (port) => `127.0.0.1:${port}`,
    );
    const id = `node-${this.machines.length + 1}`;
    const links = this.options.relayed
      ? await startLinks(entry!, target.address, this.storeAddress, link!)
      : undefined;
    target.reportedAddress = links?.target.address;
    const file = join(this.directory, `${id}.json`);
    const linkPort = Number(link!.split(':')[1]);
    writeFileSync(
      file,
      JSON.stringify({
        node: { id, zone: options.zone, region: 'r' },
        listen: {
          ...{ entry, readiness, registration, metrics },
          host: '127.0.0.1',
          ports: [linkPort, linkPort],
          ...(links && { advertised: links.peers.address }),
        },
        target: { service: options.service, address: links?.target.address ?? target.address },
        store: { address: links?.store.address ?? this.storeAddress },
        limits: { memoryMb: 350, ...this.options.limits },
        bounds: {
          gracePeriod: `${this.options.gracePeriodMs ?? 6_000}ms`,
          ...{ retryRatio: 0.2, retryWindow: '10s', retrySlack: 60 },
          ...this.options.bounds,
        },
        log: { level: 'debug', maxLinesPerSecond: 10_000 },
      }),
    );
    const machine = new ProcessMachine(
      id,
      target,
      entry!,
      readiness!,
      registration!,
      metrics!,
      link!,
      file,
      this.options.runtimeFlags ?? [],
      links,
    );
    this.machines.push(machine);
    machine.start();
    return machine;
  }

  /** Writes the operators' configuration document to the store. */
  putRules(
    version: number,
    routes: readonly RouteOptions[],
    tenants?: readonly TenantOptions[],
  ): void {
    this.store.put('op/config', createRulesDocument(version, routes, tenants));
  }

  /** Waits until all running nodes report that they are ready and each serves every path. */
  async waitUntilServing(paths: readonly string[]): Promise<void> {
    for (const machine of this.machines) {
      if (!machine.isRunning) continue;
      await waitUntil(() => machine.isReady());
      for (const path of paths) await waitUntil(() => this.isServed(machine, path));
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.machines.map((machine) => machine.end()));
    this.store.close();
    rmSync(this.directory, { recursive: true, force: true });
  }

  private async isServed(machine: ProcessMachine, path: string): Promise<boolean> {
    const attemptId = `warm-${Math.random().toString(36).slice(2)}`;
    const { apiKey } = this.options;
    const request = { path, attemptId, ...(apiKey === undefined ? {} : { apiKey }) };
    return (await sendRequest(machine.entry, request)).status === OK;
  }
}

async function startLinks(
  entry: string,
  target: string,
  store: string,
  node: string,
): Promise<MachineLinks> {
  const anyPort = '127.0.0.1:0';
  const [callers, toTarget, toStore, peers] = await Promise.all([
    startLink(anyPort, entry),
    startLink(anyPort, target),
    startLink(anyPort, store),
    startLink(anyPort, node),
  ]);
  return { callers, target: toTarget, store: toStore, peers };
}

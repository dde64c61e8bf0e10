/** Documents of an example deployment with the addresses of one run. */
import { mkdirSync, mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Result } from 'true-myth';
import { stringify } from 'yaml';
import { parseRules, type Rules } from '../config/rules.js';
import { parseSettings, type Settings } from '../config/settings.js';
import type { Failure } from '../core/failure.js';
import type { Machine } from '../etcd/platform-client.js';
import { parseWorkload, type Workload } from '../stand-ins/workload.js';
import { reservePorts } from './free-ports.js';

/** Names of the example deployments. */
export type ExampleName = 'recife' | 'trondheim';

/** Selects an example and changes its documents. */
export interface PlanOptions {
  readonly example: ExampleName;
  /** Nodes in each zone; 1 by default. */
  readonly nodesPerZone?: number;
  readonly changeRules?: (rules: Rules) => Rules;
  readonly changeWorkload?: (workload: Workload) => Workload;
  readonly changeSettings?: (settings: Settings) => Settings;
  /** Flags of the nodes' runtime. */
  readonly nodeRuntimeFlags?: readonly string[];
}

export interface PlannedNode {
  readonly settings: Settings;
  readonly settingsFile: string;
}

export interface PlannedTarget {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
}

/** Processes that a run starts, and their documents. */
export interface DeploymentPlan {
  readonly rules: Rules;
  readonly rulesFile: string;
  readonly workload: Workload;
  readonly workloadFile: string;
  readonly platformPort: number;
  readonly platformControlPort: number;
  readonly nodes: readonly PlannedNode[];
  readonly nodeRuntimeFlags: readonly string[];
  readonly targets: readonly PlannedTarget[];
  readonly machines: readonly Machine[];
  /** Scratch directory of the run. */
  readonly directory: string;
  /** Frees the ports for other deployments; call it when every process has exited. */
  releasePorts(): void;
}

const PORTS_PER_NODE = 3;
const LOOPBACK = '127.0.0.1';

/** Reads an example, assigns ports to every process and writes the documents of the run. */
export async function planDeployment(options: PlanOptions): Promise<DeploymentPlan> {
  const source = join('examples', options.example);
  const directory = mkdtempSync(join(tmpdir(), `sillshore-${options.example}-`));
  mkdirSync(directory, { recursive: true });
  const baseRules = expectValid(parseRules(readText(source, 'rules.yaml')));
  const baseWorkload = expectValid(parseWorkload(readText(source, 'workload.yaml')));
  const changedRules = options.changeRules?.(baseRules) ?? baseRules;
  const workload = options.changeWorkload?.(baseWorkload) ?? baseWorkload;

  const zones = readdirSync(source).filter((file) => file.startsWith('node-'));
  const nodesPerZone = options.nodesPerZone ?? 1;
  const targetCount = changedRules.services.flatMap(({ targets }) => targets).length;
  const nodeCount = zones.length * nodesPerZone;
  const reserved = await reservePorts(2 + targetCount + nodeCount * PORTS_PER_NODE);
  const ports = [...reserved.ports];
  const takeAddress = (): string => `${LOOPBACK}:${ports.shift()!}`;
  const [platformPort = 0, platformControlPort = 0] = ports.splice(0, 2);

  const rules = withAddresses(changedRules, takeAddress);
  const platform = `http://${LOOPBACK}:${platformPort}`;
  const baseSettings = zones.map((file) => expectValid(parseSettings(readText(source, file))));
  const settings = baseSettings.flatMap((base) =>
    Array.from({ length: nodesPerZone }, (_, index) => createSettings(base, index, takeAddress)),
  );
  const seeds = settings.map(({ listen }) => listen.peer);
  const nodes = settings.map((nodeSettings) => {
    const connected: Settings = {
      ...nodeSettings,
      platform: {
        ...nodeSettings.platform,
        keyValue: [platform],
        machines: `${platform}/machines`,
      },
      peers: {
        ...nodeSettings.peers,
        seeds: seeds.filter((seed) => seed !== nodeSettings.listen.peer),
      },
    };
    const final = options.changeSettings?.(connected) ?? connected;
    const settingsFile = join(directory, `${final.node.id}.yaml`);
    writeFileSync(settingsFile, stringify(final));
    return { settings: final, settingsFile };
  });

  const rulesFile = join(directory, 'rules.yaml');
  const workloadFile = join(directory, 'workload.yaml');
  writeFileSync(rulesFile, stringify(rules));
  writeFileSync(workloadFile, stringify(workload));
  const targets = listTargets(rules);
  return {
    rules,
    rulesFile,
    workload,
    workloadFile,
    platformPort,
    platformControlPort,
    nodes,
    nodeRuntimeFlags: options.nodeRuntimeFlags ?? [],
    targets,
    machines: [...nodes.map(nodeMachine), ...targets.map(targetMachine)],
    directory,
    releasePorts: () => {
      reserved.release();
    },
  };
}

/** Returns the value of a result; throws when the example's document is invalid. */
export function expectValid<T>(result: Result<T, Failure>): T {
  if (result.isErr) throw new Error(JSON.stringify(result.error));
  return result.value;
}

function readText(directory: string, file: string): string {
  return readFileSync(join(directory, file), 'utf8');
}

function withAddresses(rules: Rules, takeAddress: () => string): Rules {
  const services = rules.services.map((service) => ({
    ...service,
    targets: service.targets.map((target) => ({ ...target, address: takeAddress() })),
  }));
  return { ...rules, services };
}

function createSettings(base: Settings, index: number, takeAddress: () => string): Settings {
  const listen = { entry: takeAddress(), admin: takeAddress(), peer: takeAddress() };
  const id = index === 0 ? base.node.id : `${base.node.id}-${index + 1}`;
  return { ...base, node: { ...base.node, id }, listen };
}

function listTargets(rules: Rules): PlannedTarget[] {
  return rules.services.flatMap((service) =>
    service.targets.map(({ id, zone, address }) => ({
      id,
      service: service.name,
      zone,
      address,
      slots: service.slots,
      connections: service.connections,
    })),
  );
}

function nodeMachine({ settings }: PlannedNode): Machine {
  const { id, zone } = settings.node;
  return { id, role: 'node', state: 'live', address: settings.listen.peer, zone };
}

function targetMachine({ id, zone, address }: PlannedTarget): Machine {
  return { id, role: 'target', state: 'live', address, zone };
}

/** A small deployment in one process: a store, targets, and the sidecar node of each target. */
import { request as httpRequest, type IncomingHttpHeaders } from 'node:http';
import assert from 'node:assert/strict';
import { platformAdapter } from '../../platform/adapter.js';
import type { EventLog } from '../../src/kernel/event.js';
import { silentEventLog } from '../../src/kernel/event.js';
import type { Kernel } from '../../src/kernel/kernel.js';
import { createSidecar } from '../../src/sidecar/create-sidecar.js';
import { validateSidecarSettings } from '../../src/sidecar/settings.js';
import { startLink, type Link } from '../../src/stand-ins/link/start-link.js';
import { findFreePorts } from '../../src/trials/free-ports.js';
import {
  createRulesDocument,
  HOST,
  type RouteOptions,
  type TenantOptions,
} from '../../platform/stand-ins/rules-document.js';
import { StoreStandIn } from '../../platform/stand-ins/store-stand-in.js';
import {
  TargetStandIn,
  type TargetStandInOptions,
} from '../../platform/stand-ins/target-stand-in.js';

/** Options of a deployment. */
export interface MeshOptions {
  /** Whether connections to other nodes, to the targets and to the store go through relays. */
  readonly relayed?: boolean;
}

const PORTS_PER_NODE = 5;
const WAIT_STEP_MS = 10;
const WAIT_LIMIT_MS = 30_000;

/** Relays around one node. */
export interface MachineRelays {
  /** From other nodes to the node. */
  readonly peers: Link;
  /** From the node to its target. */
  readonly target: Link;
  /** From the node to the store. */
  readonly store: Link;
}

/** One machine: a target and its sidecar node. */
export interface Machine {
  readonly id: string;
  readonly target: TargetStandIn;
  readonly entry: string;
  readonly readiness: string;
  readonly registration: string;
  readonly metrics: string;
  readonly linkPort: number;
  /** Relays to the node, to its target and to the store; undefined unless the deployment is relayed. */
  readonly relays: MachineRelays | undefined;
  kernel: Kernel;
  /** Starts the node again with the same settings. */
  restart(): Promise<void>;
}

/** An answer as its caller receives it. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** A caller's request. */
export interface CallerRequest {
  readonly method?: string;
  readonly host?: string;
  readonly path: string;
  readonly attemptId?: string;
  readonly deadlineMs?: number;
  readonly body?: string;
  readonly apiKey?: string;
  /** Further header fields, names and values alternate. */
  readonly fields?: readonly string[];
}

export class Mesh {
  readonly store = new StoreStandIn();
  readonly machines: Machine[] = [];
  private storeAddress = '';
  private attempts = 0;

  /** @param bounds settings of all nodes, in addition to the defaults */
  constructor(
    private readonly bounds: Readonly<Record<string, unknown>> = {},
    private readonly options: MeshOptions = {},
  ) {}

  async start(): Promise<void> {
    this.storeAddress = await this.store.listen();
  }

  /** Adds a machine; its target registers with its first heartbeat. */
  async add(options: TargetStandInOptions, log: EventLog = silentEventLog): Promise<Machine> {
    const target = new TargetStandIn(options);
    await target.listen();
    const [entry, readiness, registration, link, metrics] = await findFreePorts(PORTS_PER_NODE);
    const id = `node-${this.machines.length + 1}`;
    const relays = await this.startRelays(`127.0.0.1:${link}`, target.address);
    target.reportedAddress = relays?.target.address;
    const settings = validateSidecarSettings({
      node: { id, zone: options.zone, region: 'r' },
      listen: {
        entry: `127.0.0.1:${entry}`,
        readiness: `127.0.0.1:${readiness}`,
        registration: `127.0.0.1:${registration}`,
        metrics: `127.0.0.1:${metrics}`,
        host: '127.0.0.1',
        ports: [link, link],
        ...(relays && { advertised: relays.peers.address }),
      },
      target: { service: options.service, address: relays?.target.address ?? target.address },
      store: { address: relays?.store.address ?? this.storeAddress },
      limits: { memoryMb: 350 },
      bounds: {
        ...{ gracePeriod: '6s', retryRatio: 0.2, retryWindow: '10s', retrySlack: 60 },
        ...this.bounds,
      },
    }).unwrapOrElse((failure) => assert.fail(JSON.stringify(failure)));
    const create = (): Kernel => createSidecar(settings, platformAdapter, { log });
    const machine: Machine = {
      id,
      target,
      entry: settings.listen.entry,
      readiness: settings.listen.readiness,
      registration: settings.listen.registration,
      metrics: settings.listen.metrics!,
      linkPort: link!,
      relays,
      kernel: create(),
      restart: async () => {
        machine.kernel = create();
        await machine.kernel.start();
      },
    };
    this.machines.push(machine);
    await machine.kernel.start();
    return machine;
  }

  /** Makes open connections between nodes, to targets and to the store silent; new ones work. */
  silenceOpenConnections(share = 1): void {
    for (const { relays } of this.machines) {
      for (const relay of listRelays(relays)) relay.silenceOpenConnections(share);
    }
  }

  /** Writes the rules to the store, as operators do. */
  putRules(
    version: number,
    routes: readonly RouteOptions[],
    tenants?: readonly TenantOptions[],
  ): void {
    this.store.put('op/config', createRulesDocument(version, routes, tenants));
  }

  /** Sends one heartbeat from each target. */
  async sendHeartbeats(): Promise<void> {
    for (const { target, registration } of this.machines) await target.sendHeartbeat(registration);
  }

  /** Sends a request to a machine's entry. */
  send(machine: Machine, request: CallerRequest): Promise<CallerAnswer> {
    this.attempts += 1;
    return sendRequest(machine.entry, {
      attemptId: `attempt-${this.attempts}`,
      ...request,
    });
  }

  /** Repeats a request until an answer is as wanted, and returns that answer. */
  async sendUntil(
    machine: Machine,
    request: CallerRequest,
    wanted: (answer: CallerAnswer) => boolean,
  ): Promise<CallerAnswer> {
    let last: CallerAnswer | undefined;
    await waitUntil(async () => {
      last = await this.send(machine, request);
      return wanted(last);
    });
    return last!;
  }

  async stop(): Promise<void> {
    await Promise.all(this.machines.map(({ kernel }) => kernel.stop()));
    for (const { target, relays } of this.machines) {
      target.close();
      await Promise.all(listRelays(relays).map((relay) => relay.stop()));
    }
    this.store.close();
  }

  private async startRelays(node: string, target: string): Promise<MachineRelays | undefined> {
    if (this.options.relayed !== true) return undefined;
    const startRelay = (destination: string): Promise<Link> =>
      startLink('127.0.0.1:0', destination);
    return {
      peers: await startRelay(node),
      target: await startRelay(target),
      store: await startRelay(this.storeAddress),
    };
  }
}

function listRelays(relays: MachineRelays | undefined): readonly Link[] {
  return relays === undefined ? [] : [relays.peers, relays.target, relays.store];
}

/** Sends one request on its own connection. */
export function sendRequest(address: string, options: CallerRequest): Promise<CallerAnswer> {
  const {
    method = 'GET',
    host = HOST,
    path,
    attemptId,
    deadlineMs = 5_000,
    body,
    apiKey,
  } = options;
  const [hostname = '', port = '0'] = address.split(':');
  const headers = ['Host', host, 'X-Deadline-Ms', String(deadlineMs), ...(options.fields ?? [])];
  if (attemptId !== undefined) headers.push('X-Attempt-Id', attemptId);
  if (apiKey !== undefined) headers.push('X-Credential', apiKey);
  if (body !== undefined) headers.push('Content-Length', String(Buffer.byteLength(body)));
  return new Promise((resolve, reject) => {
    const request = httpRequest(
      { host: hostname, port, method, path, headers, agent: false },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => {
          const { statusCode = 0, headers: fields } = response;
          resolve({ status: statusCode, headers: fields, body: Buffer.concat(chunks).toString() });
        });
        response.on('error', reject);
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}

/** Polls until the condition holds; fails after 30 seconds. */
export async function waitUntil(holds: () => boolean | Promise<boolean>): Promise<void> {
  const end = performance.now() + WAIT_LIMIT_MS;
  while (!(await holds())) {
    assert.ok(performance.now() < end, 'condition did not hold within 30 s');
    await new Promise((resolve) => setTimeout(resolve, WAIT_STEP_MS));
  }
}

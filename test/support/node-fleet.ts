/** Nodes in separate processes over one platform stand-in, without back ends. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { HEAD_KEY } from '../../src/config/stored-revision.js';
import { validateSettings, type Settings } from '../../src/config/settings.js';
import {
  startPlatformStandIn,
  type PlatformStandIn,
} from '../../src/stand-ins/platform/platform-stand-in.js';
import { AdminClient } from '../../src/trials/admin-client.js';
import { findFreePorts } from '../../src/trials/free-ports.js';
import { FatalError, poll } from '../../src/trials/http-json.js';
import { ManagedProcess } from '../../src/trials/managed-process.js';

const HOST = '127.0.0.1';
const START_TIMEOUT_MS = 20_000;
const WATCH_INTERVAL_MS = 50;
/** Long enough that a busy machine does not appear as an outage of the platform. */
const EXCHANGE_TIMEOUT_MS = 3_000;

/** A node process. */
export interface FleetNode {
  readonly id: string;
  readonly zone: string;
  readonly admin: AdminClient;
  readonly process: ManagedProcess;
}

/** The node processes and their platform. */
export class NodeFleet {
  readonly nodes: FleetNode[] = [];
  /** Every observed decrease of a revision in force; empty if the nodes are correct. */
  readonly falls: string[] = [];
  private readonly highestRevisions = new Map<FleetNode, number>();
  private readonly peers: string[] = [];
  private readonly directory = mkdtempSync(join(tmpdir(), 'sillshore-'));
  private watching = true;

  private constructor(
    readonly platform: PlatformStandIn,
    readonly tenant: string,
  ) {}

  /** Starts the platform without nodes. */
  static async start(tenant: string): Promise<NodeFleet> {
    const platform = await startPlatformStandIn({ host: HOST, port: 0, seed: 1 });
    const fleet = new NodeFleet(platform, tenant);
    void fleet.watchRevisions();
    return fleet;
  }

  get running(): readonly FleetNode[] {
    return this.nodes.filter(({ process }) => process.running);
  }

  /** Starts a node and waits until it is ready or, without rules, until its admin API answers. */
  async startNode(id: string, zone: string): Promise<FleetNode> {
    const settings = await this.createSettings(id, zone);
    const file = join(this.directory, `${id}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const process = new ManagedProcess(id, ['node', '--settings', file]);
    const hasRules = this.platform.store.range({ key: HEAD_KEY }).count > 0;
    const node: FleetNode = { id, zone, admin: new AdminClient(settings), process };
    this.nodes.push(node);
    this.peers.push(settings.listen.peer);
    await poll(`${id} ready`, START_TIMEOUT_MS, () => {
      if (!process.running) throw new FatalError(`${id} exited: ${process.stderr}`);
      // Without rules there is nothing to serve, so no node becomes ready.
      return hasRules ? node.admin.isReady() : node.admin.listMembers().then(() => true);
    });
    return node;
  }

  /** Waits until a revision is in force at all running nodes; returns the milliseconds taken. */
  async untilInForce(revision: number): Promise<number> {
    const startedAt = performance.now();
    await poll(`revision ${revision} everywhere`, START_TIMEOUT_MS, async () => {
      const revisions = await Promise.all(
        this.running.map(({ admin }) => admin.revisionInForce(this.tenant)),
      );
      return revisions.every((found) => found >= revision);
    });
    return performance.now() - startedAt;
  }

  async stop(): Promise<void> {
    this.watching = false;
    await Promise.all(this.nodes.map(({ process }) => process.stop()));
    await this.platform.close();
    rmSync(this.directory, { recursive: true, force: true });
  }

  private async createSettings(id: string, zone: string): Promise<Settings> {
    const [entry, admin, peer] = await findFreePorts(3);
    const url = `http://${HOST}:${this.platform.port}`;
    const validated = validateSettings({
      node: { id, zone, region: 'region' },
      listen: { entry: `${HOST}:${entry}`, admin: `${HOST}:${admin}`, peer: `${HOST}:${peer}` },
      platform: { keyValue: [url], machines: `${url}/machines`, timeoutMs: EXCHANGE_TIMEOUT_MS },
      peers: { sharedKey: 'shared-key-of-this-test', seeds: [...this.peers] },
      admin: { token: 'operator-token' },
      log: { level: 'error' },
    });
    return validated.unwrapOrElse((failure) => {
      throw new Error(JSON.stringify(failure));
    });
  }

  /** Polls the revision in force at each node; it must never decrease while the process runs. */
  private async watchRevisions(): Promise<void> {
    while (this.watching) {
      await Promise.all(this.running.map((node) => this.watchNode(node)));
      await new Promise((resolve) => setTimeout(resolve, WATCH_INTERVAL_MS));
    }
  }

  private async watchNode(node: FleetNode): Promise<void> {
    try {
      const revision = await node.admin.revisionInForce(this.tenant);
      const before = this.highestRevisions.get(node) ?? 0;
      if (revision < before) this.falls.push(`${node.id} went back from ${before} to ${revision}`);
      this.highestRevisions.set(node, Math.max(before, revision));
    } catch {
      // The node is starting, stopping or suspended.
    }
  }
}

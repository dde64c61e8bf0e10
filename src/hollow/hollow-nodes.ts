/**
 * Hollow nodes: many nodes in one process, with real sockets, that run membership, platform
 * client, configuration and claims, and have no entry, target side or operators' interface.
 * They show what control costs at sizes for which real processes don't fit on one machine.
 */
import type { Settings } from '../config/settings.js';
import { systemClock } from '../kernel/clock.js';
import { silentEventLog } from '../kernel/event.js';
import type { Kernel } from '../kernel/kernel.js';
import { createMetrics } from '../kernel/metrics.js';
import { listPlugins, StartOrder, type Plugin } from '../kernel/plugin.js';
import { Token } from '../kernel/token.js';
import type { Transport } from '../kernel/traffic-meter.js';
import { createNode } from '../node/start-node.js';

/** Plug-ins that a hollow node runs. */
const CONTROL_PLUGINS: ReadonlySet<string> = new Set([
  'peer',
  'membership',
  'platform',
  'config',
  'claims',
]);

/** Metrics without those of the process, which would be collected once for each node. */
const hollowObservability: Plugin = {
  name: 'hollow-observability',
  order: StartOrder.Observability,
  bind: (container) => {
    container.bind(Token.Metrics).toConstantValue(createMetrics(false));
  },
};

/** Nodes started at once; more would only wait for the processor. */
const START_BATCH = 25;

/** The nodes of one process. */
export class HollowNodes {
  private readonly kernels: Kernel[] = [];

  /** Starts one node for each settings value. */
  async start(allSettings: readonly Settings[]): Promise<void> {
    for (let first = 0; first < allSettings.length; first += START_BATCH) {
      const batch = allSettings.slice(first, first + START_BATCH);
      await Promise.all(batch.map((settings) => this.startOne(settings)));
    }
  }

  /** Stops all nodes at once, without a planned stop. */
  async stop(): Promise<void> {
    await Promise.all(this.kernels.map((kernel) => kernel.stop()));
  }

  /** Stops the first `count` nodes without a word to the others, as a failed rack does. */
  async fail(count: number): Promise<void> {
    const failed = this.kernels.splice(0, count);
    await Promise.all(failed.map((kernel) => kernel.stop()));
  }

  /** State and cost of the nodes now. */
  report(): HollowReport {
    const views = this.kernels.map((kernel) => kernel.container.get(Token.Membership));
    const sizes = views.map((membership) => membership.members().length);
    const versions = this.kernels.map((kernel) => kernel.container.get(Token.ConfigStore).version);
    const { user, system } = process.cpuUsage();
    return {
      atMs: Date.now(),
      nodes: this.kernels.length,
      ready: views.filter((membership) => membership.self().ready).length,
      smallestView: Math.min(...sizes),
      largestView: Math.max(...sizes),
      lowestVersion: Math.min(...versions),
      cpuMicros: user + system,
      residentBytes: process.memoryUsage().rss,
      tcpBytes: this.sumBytes('tcp'),
      udpBytes: this.sumBytes('udp'),
    };
  }

  /** Calls `listener` with the node's name each time a node's rules version rises. */
  onVersion(listener: (nodeId: string, version: number) => void): void {
    for (const kernel of this.kernels) {
      const store = kernel.container.get(Token.ConfigStore);
      const { id } = kernel.container.get(Token.Settings).node;
      store.subscribe(() => {
        listener(id, store.version);
      });
    }
  }

  private sumBytes(transport: Transport): number {
    const meters = this.kernels.map((kernel) => kernel.container.get(Token.TrafficMeter));
    return meters
      .map((meter) => meter.read(transport, 'sent') + meter.read(transport, 'received'))
      .reduce((sum, bytes) => sum + bytes, 0);
  }

  private async startOne(settings: Settings): Promise<void> {
    const control = listPlugins().filter(({ name }) => CONTROL_PLUGINS.has(name));
    const plugins = [hollowObservability, ...control];
    const kernel = createNode(settings, { clock: systemClock, log: silentEventLog, plugins });
    await kernel.start();
    this.kernels.push(kernel);
  }
}

/** State and cost of the hollow nodes of one process. */
export interface HollowReport {
  /** Unix milliseconds. */
  readonly atMs: number;
  readonly nodes: number;
  /** Nodes that have loaded the rules. */
  readonly ready: number;
  /** Members, itself included, that the node with the smallest view sees. */
  readonly smallestView: number;
  readonly largestView: number;
  /** Rules version in force at the node that is furthest behind. */
  readonly lowestVersion: number;
  /** Processor time of the process so far, in microseconds. */
  readonly cpuMicros: number;
  readonly residentBytes: number;
  /** Bytes sent and received over links between nodes so far, summed over the nodes. */
  readonly tcpBytes: number;
  /** The same of datagrams. */
  readonly udpBytes: number;
}
